// Package fakeupstream is a fake upstream that injects gray failures and records every request that it runs.
package fakeupstream
