package endtoend

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"switchfork/internal/agenttest"
	"switchfork/internal/fakes"
)

const (
	// memoryAttackTime is how long the clients of a memory test go on.
	memoryAttackTime = 1500 * time.Millisecond
	// attackClients is the number of clients of a memory test, well above the descriptors of the smaller agent.
	attackClients = 400
	longestBody   = 64 << 10
	longestHead   = 8 << 10
)

// longHead returns the start of a request that has as many short fields as the longest head holds, without its end.
func longHead(requestLine string) string {
	head := strings.Builder{}
	fmt.Fprintf(&head, "%s HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 1000\r\nIdempotency-Key: k\r\nX-Request-Id: memory-%d\r\n", requestLine, memoryTestID.Add(1))
	for i := 0; head.Len() < longestHead-len("Content-Length: 65536\r\n\r\n"); i++ {
		head.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return head.String()
}

// memoryTestID is the number of the last request of the memory tests.
var memoryTestID atomic.Int64

func postHead() string {
	return fmt.Sprintf("POST /posting HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 1000\r\nIdempotency-Key: k\r\nX-Request-Id: memory-%d\r\n", memoryTestID.Add(1))
}

// Guards against exceeding the memory limit while hundreds of clients send requests within the limits on heads and bodies, slowly, in part or
// all at once.
func TestClientsStayWithinTheMemoryLimit(t *testing.T) {
	binary, err := buildPlainProgram()
	if err != nil {
		t.Fatal(err)
	}
	contentLength := fmt.Sprintf("Content-Length: %d\r\n\r\n", longestBody)
	body := strings.Repeat("b", longestBody)
	for _, limits := range []struct{ memoryMB, descriptors int }{{32, 256}, {64, 1024}} {
		for name, send := range map[string]func(conn net.Conn){
			"bodies that stop":    func(conn net.Conn) { sendText(conn, postHead()+contentLength+body[1:]) },
			"heads that stop":     func(conn net.Conn) { sendText(conn, longHead("GET /lookup")) },
			"both that stop":      func(conn net.Conn) { sendText(conn, longHead("POST /posting")+contentLength+body[1:]) },
			"whole requests":      func(conn net.Conn) { sendText(conn, longHead("POST /posting")+contentLength+body) },
			"slow bodies":         func(conn net.Conn) { sendSlowly(conn, postHead()+contentLength+body) },
			"clients that leave":  func(conn net.Conn) { sendText(conn, postHead()+contentLength+body); _ = conn.Close() },
			"responses not read":  leaveUnread,
			"one after the other": func(conn net.Conn) { sendText(conn, strings.Repeat(longHead("GET /lookup")+"\r\n", 3)) },
		} {
			t.Run(fmt.Sprintf("%d MB, %d descriptors, %s", limits.memoryMB, limits.descriptors, name), func(t *testing.T) {
				playMemoryAttack(t, binary, limits.memoryMB, limits.descriptors, send)
			})
		}
	}
}

// sendText sends a text, as far as the agent takes it.
func sendText(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// sendSlowly sends a text in pieces within about the time of the attack.
func sendSlowly(conn net.Conn, text string) {
	const pieces = 40
	for i := range pieces {
		piece := text[len(text)*i/pieces : len(text)*(i+1)/pieces]
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
		time.Sleep(memoryAttackTime / pieces)
	}
}

// leaveUnread sends a request and reads nothing of its response.
func leaveUnread(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(1) // the least that the system allows
	}
	sendText(conn, fmt.Sprintf("GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: memory-%d\r\n\r\n", memoryTestID.Add(1)))
	time.Sleep(memoryAttackTime)
}

// playMemoryAttack starts an agent, lets clients send, and checks the agent's greatest resident memory. The endpoint's responses are as long as
// the protocol allows.
func playMemoryAttack(t *testing.T, binary string, memoryMB, descriptors int, send func(net.Conn)) {
	t.Helper()
	response := fakes.OKResponse(strings.Repeat("r", longestBody))
	endpoint := agenttest.NewScriptedServer(t, func(conn net.Conn, nth int) bool {
		time.Sleep(memoryAttackTime / 4)
		return fakes.Respond(response)(conn, nth)
	})
	agent := startProgram(t, binary, func(config string) string {
		limits := fmt.Sprintf(`"memory_mb":%d,
"sockets":%d`, memoryMB, descriptors)
		return strings.Replace(config, `"memory_mb":192,
"sockets":1024`, limits, 1)
	}, fakes.ListEntry("s-1", endpoint.Addr(), "active", 41))
	agent.waitHealthy(t)
	end := time.Now().Add(memoryAttackTime)
	var clients sync.WaitGroup
	for range attackClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				playMemoryClient(t, agent, send)
				time.Sleep(memoryAttackTime / 8)
			}
		})
	}
	clients.Wait()
	if peak := peakMemoryMB(t, agent.command.Process.Pid); peak > float64(memoryMB) {
		t.Errorf("the agent took %.1f MB, allowed are %d", peak, memoryMB)
	}
	agent.waitHealthy(t)
}

// playMemoryClient connects, sends, and waits until the agent answers or closes, or the time of the attack is over.
func playMemoryClient(t *testing.T, agent *runningAgent, send func(net.Conn)) {
	t.Helper()
	conn, err := (&net.Dialer{Timeout: memoryAttackTime}).DialContext(t.Context(), "tcp", strings.TrimPrefix(agent.url, "http://"))
	if err != nil {
		return // no descriptor was free in time
	}
	defer func() { _ = conn.Close() }() // the client may have closed it
	_ = conn.SetDeadline(time.Now().Add(memoryAttackTime))
	send(conn)
	_, _ = conn.Read(make([]byte, 1))
}

// peakMemoryMB returns the greatest resident memory of a process so far.
func peakMemoryMB(t *testing.T, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		t.Fatal(err)
	}
	_, after, isFound := strings.Cut(string(status), "VmHWM:")
	kilobytes := 0.0
	if _, err = fmt.Sscan(after, &kilobytes); !isFound || err != nil {
		t.Fatalf("the system does not tell the greatest resident memory: %v", err)
	}
	return kilobytes / 1024
}
