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

// freePortOffset counts the ports tried by this process.
var freePortOffset atomic.Int64

// Listen listens on a free port of loopback.
func Listen() (net.Listener, error) { return listenOn("127.0.0.1:0") }

// FreeAddress returns an address of loopback on which a process may listen soon.
func FreeAddress() (string, error) {
	freePortOffset.CompareAndSwap(0, int64(os.Getpid()*processSpacing%freePorts)+1)
	for range freePorts {
		port := minFreePort + freePortOffset.Add(1)%freePorts
		listener, err := listenOn(fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			return "", fmt.Errorf("freeing %s: %w", address, err)
		}
		return address, nil
	}
	return "", errors.New("no port of loopback is free")
}

func listenOn(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}
