// Package connlimit shares the process's file descriptors between connections to clients and connections to endpoints, so that neither
// side can use up the descriptors that the other needs.
//
// A Budget counts connections and opens none. Its methods may be called by any goroutine.
package connlimit
