package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports for processes that are about to listen. They are below the ports that operating systems assign to outgoing connections. A port
// from the system's range could be taken by a connection of a concurrent test after it was chosen and before the process listens on it.
const (
	minFreePort = 12000
	maxFreePort = 30000
	freePorts   = maxFreePort - minFreePort
	// processSpacing is the distance between the first ports that processes with successive ids try.
	processSpacing = 97
)

// ErrNoFreePort means that every port from minFreePort to maxFreePort-1 is taken.
var ErrNoFreePort = errors.New("no loopback port is free")

// freePortOffset modulo freePorts is the offset from minFreePort of the last port that this process has tried. It is 0 at the start of
// the process.
var freePortOffset atomic.Int64

// Listen listens on a free loopback port.
func Listen(ctx context.Context) (net.Listener, error) { return listenOn(ctx, "127.0.0.1:0") }

// FreeAddress returns a loopback address with a free port, for a process that is about to listen.
func FreeAddress(ctx context.Context) (string, error) {
	freePortOffset.CompareAndSwap(0, int64(os.Getpid()*processSpacing%freePorts)+1)
	for range freePorts {
		port := minFreePort + freePortOffset.Add(1)%freePorts
		listener, err := listenOn(ctx, fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("closing the listener on %s: %w", address, err)
		}
		return address, nil
	}
	return "", fmt.Errorf("trying the ports %d to %d: %w", minFreePort, maxFreePort-1, ErrNoFreePort)
}

func listenOn(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return listener, nil
}
