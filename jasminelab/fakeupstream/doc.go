// Package fakeupstream is a stand-in of an upstream that shows gray failures and records all that it ran.
package fakeupstream
