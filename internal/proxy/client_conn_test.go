package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/policy"
	"switchfork/internal/tcpconn"
)

// If a byte of a request has been read from a connection or waits to be read, the connection is not closed by a shortage of descriptors,
// the retirement of idle connections, or a timeout. A connection without such a byte is closed.
func TestRetireSparesStartedRequest(t *testing.T) {
	server := newTestServer(t, false)
	reading, silent := server.dial(t), server.dial(t)
	raw := rawRequest("lookup")
	reading.send(raw[:5])
	server.waitForState(t, reading, stateReading)
	server.waitForState(t, silent, stateNew)
	if server.serverConn(t, reading).retire() {
		t.Error("a connection was retired after part of a head was read")
	}
	if conn := server.serverConn(t, silent); !conn.retire() {
		t.Error("a silent connection was not retired")
	}
	silent.expectEOF()
	reading.send(raw[5:])
	reading.expectResponse(http.StatusServiceUnavailable, false)
	// A byte arrives that the server's reader can't read yet, as the test holds the lock.
	server.waitForState(t, reading, stateIdle)
	conn := server.serverConn(t, reading)
	conn.mu.Lock()
	reading.send(raw[:1])
	agenttest.Eventually(t, "the byte", func() bool { return !tcpconn.IsOpenWithoutInput(conn.TCPConn) })
	couldRetire := conn.state == stateIdle && tcpconn.IsOpenWithoutInput(conn.TCPConn)
	conn.stateDeadline = time.Now().Add(-time.Second)
	conn.mu.Unlock()
	conn.stateDeadlinePassed()
	if couldRetire || conn.retire() {
		t.Error("a connection with an unread byte was retired")
	}
	reading.send(rawRequest("lookup")[1:])
	reading.expectResponse(http.StatusServiceUnavailable, false)
}

// A connection's last response is not overtaken by a reset, even if the client continues to send after its request.
func TestLastResponseIsNotReset(t *testing.T) {
	server := newTestServer(t, true)
	client := server.dial(t)
	client.send("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: last\r\nConnection: close\r\n\r\n")
	server.waitForState(t, client, stateAwaiting)
	server.waitForRequests(t, 1)
	conn := server.serverConn(t, client)
	client.send(strings.Repeat("x", 32<<10)) // far more than readAheadLimitBytes
	waitForConn(t, "a full read-ahead buffer", conn, func() bool {
		return len(conn.readAhead) >= readAheadLimitBytes-1 && !tcpconn.IsOpenWithoutInput(conn.TCPConn)
	})
	server.rejectAll()
	client.expectResponse(http.StatusServiceUnavailable, true)
	client.expectEOF()
	_ = client.Close()
	server.assertReleased(t, server.startDrain(t, agenttest.WaitTimeout))
}

// A client's disconnection is detected whether or not the client sent something before it had its response.
func TestDisconnectAfterEarlyBytes(t *testing.T) {
	for _, early := range []string{"", "G", strings.Repeat("x", 300)} {
		server := newTestServer(t, true)
		client := server.dial(t)
		client.send(rawRequest("lookup"))
		server.waitForState(t, client, stateAwaiting)
		conn := server.serverConn(t, client)
		client.send(early)
		waitForConn(t, "the early bytes", conn, func() bool { return len(conn.readAhead) == len(early) })
		_ = client.Close()
		agenttest.Eventually(t, fmt.Sprintf("the disconnection of a client that sent %d bytes early", len(early)),
			func() bool { return len(agenttest.Events[policy.RequestCancelled](server.Router)) == 1 })
		server.assertReleased(t, server.startDrain(t, agenttest.WaitTimeout))
	}
}

// Bytes that arrive before a response are the start of the next request.
func TestEarlyBytesStartNextRequest(t *testing.T) {
	server := newTestServer(t, true)
	client := server.dial(t)
	client.send(rawRequest("lookup"))
	server.waitForState(t, client, stateAwaiting)
	server.waitForRequests(t, 1)
	conn, next := server.serverConn(t, client), rawRequest("lookup")
	for i := range 7 {
		client.send(next[i : i+1])
		waitForConn(t, "the early byte", conn, func() bool { return len(conn.readAhead) == i+1 })
	}
	server.rejectAll()
	client.expectResponse(http.StatusServiceUnavailable, false)
	server.waitForState(t, client, stateReading)
	client.send(next[7:])
	server.waitForRequests(t, 2)
	server.rejectAll()
	client.expectResponse(http.StatusServiceUnavailable, false)
}

// A timeout may fire, or a connection may be retired, after the last byte of a request has been read and before net/http has reported the
// request. The request is served nevertheless: the next read waits for the client and does not fail.
func TestTimeoutAsLastByteArrives(t *testing.T) {
	for name, expire := range map[string]func(conn *clientConn, read func()){
		"head": func(conn *clientConn, read func()) {
			read()
			expireState(conn)
			conn.headReceived()
			conn.requestReceived()
		},
		"body": func(conn *clientConn, read func()) {
			read()
			conn.headReceived()
			expireState(conn)
			conn.requestReceived()
		},
		"buffered by server": func(conn *clientConn, read func()) {
			read()
			conn.headReceived()
			conn.requestReceived()
			conn.becomeIdle() // while the next request is in the buffer of net/http
			if !conn.retire() {
				t.Error("an idle connection was not retired")
			}
			conn.headReceived()
			conn.requestReceived()
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t, false)
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			client, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = client.Close() }()
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn := server.proxy.listener.register(accepted.(*net.TCPConn))
			defer func() { _ = conn.Close() }()
			expire(conn, func() {
				if _, err := io.WriteString(client, "the last"); err != nil {
					t.Fatal(err)
				}
				if _, err := conn.Read(make([]byte, 100)); err != nil {
					t.Fatal(err)
				}
			})
			readError := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				readError <- err
			}()
			// This byte is buffered for the next request, and the read continues.
			if _, err := io.WriteString(client, "x"); err != nil {
				t.Fatal(err)
			}
			waitForConn(t, "the byte", conn, func() bool { return len(conn.readAhead) == 1 })
			_ = client.Close()
			if err := <-readError; !errors.Is(err, io.EOF) {
				t.Errorf("the read that detects a disconnection got error %v, want EOF", err)
			}
		})
	}
}

// expireState makes the current state time out.
func expireState(conn *clientConn) {
	conn.mu.Lock()
	conn.stateDeadline = time.Now().Add(-time.Second)
	conn.mu.Unlock()
	conn.stateDeadlinePassed()
}

// If a client sends requests and reads no response, its connection is closed soon after the deadline of a request.
func TestUnreadResponses(t *testing.T) {
	server := newTestServer(t, false)
	client := server.dial(t)
	if err := client.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	if err := server.serverConn(t, client).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	go func() {
		for { // until the server closes the connection
			raw := fmt.Sprintf("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 300\r\nX-Request-Id: %x\r\n\r\n", lastTestID.Add(1))
			if _, err := io.WriteString(client, raw); err != nil {
				return
			}
		}
	}()
	server.waitForListener(t, "the end of the connection", func(l *clientListener) bool { return len(l.conns) == 0 })
}
