// Package streamclient holds what the clients of discovery and of the rollout controller have in common: the HTTP client for their streams
// and rare calls, and the delay before a retry. It has no state; its functions may be called from any goroutine.
package streamclient
