package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports for processes that are to listen soon. They are below those that systems give to outgoing connections: a port out of
// those might be taken, between its choice and its use, by any connection of a test that runs at the same time.
const (
	minFreePort = 12000
	maxFreePort = 30000
	freePorts   = maxFreePort - minFreePort
	// processSpacing separates the first ports that processes with successive ids try.
	processSpacing = 97
)

// ErrNoFreePort is that every port for processes that are to listen soon is taken.
var ErrNoFreePort = errors.New("no port of loopback is free")

// freePortOffset counts the ports tried by this process.
var freePortOffset atomic.Int64

// Listen listens on a free port of loopback.
func Listen(ctx context.Context) (net.Listener, error) { return listenOn(ctx, "127.0.0.1:0") }

// FreeAddress returns an address of loopback on which a process may listen soon.
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
			return "", fmt.Errorf("freeing %s: %w", address, err)
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
