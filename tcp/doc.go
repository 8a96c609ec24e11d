// Package tcp opens connections that notice a peer that has gone without a sign.
package tcp
