package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"switchfork/internal/cluster/election"
)

const (
	// adminTimeout bounds each step of a conversation at the admin address.
	adminTimeout = 2 * time.Second
	// adminSocketMode: only the agent's own user may ask it.
	adminSocketMode = 0o600
	// privateFolderPattern and privateSocketName name where the socket is made. They are short, as the path of a socket may have some
	// hundred bytes only.
	privateFolderPattern = ".a*"
	privateSocketName    = "s"
)

// Resources of the admin address.
const (
	statusPath       = "/lead"
	memberPath       = "/members/" // followed by the change: add or remove
	addMemberPath    = memberPath + "add"
	removeMemberPath = memberPath + "remove"
	metricsPath      = "/metrics"
	agentParameter   = "agent"
)

// AdminAddressInUseError tells that another process serves the admin address.
type AdminAddressInUseError struct{ Path string }

func (e *AdminAddressInUseError) Error() string {
	return fmt.Sprintf("admin address %s is another process's", e.Path)
}

// ServeAdmin begins to serve the admin address, a Unix socket, and returns; it is served until the context ends. A socket that an
// ended agent has left behind is replaced, one that a process still serves is not.
func (c *Coordinator) ServeAdmin(ctx context.Context, path string) error {
	listener, err := listenAdmin(ctx, path)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           c.adminHandler(),
		ReadHeaderTimeout: adminTimeout,
		IdleTimeout:       adminTimeout,
	}
	go func() {
		_ = server.Serve(listener) // without its admin address an agent serves on
	}()
	go func() {
		<-ctx.Done()
		_ = server.Close() // the agent ends
	}()
	return nil
}

// listenAdmin opens the Unix socket.
func listenAdmin(ctx context.Context, path string) (net.Listener, error) {
	if isServed(ctx, path) {
		return nil, &AdminAddressInUseError{path}
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // if it stays, Listen says why the address can't be used
	}
	listener, err := listenPrivately(ctx, path)
	if err != nil {
		return nil, fmt.Errorf("admin address: %w", err)
	}
	return listener, nil
}

// listenPrivately opens a Unix socket that only the agent's own user can ever have connected to. The system makes a socket with the
// permissions of the umask, so it is made in a folder that is closed to others, and moved to its path when its mode is set.
func listenPrivately(ctx context.Context, path string) (net.Listener, error) {
	folder, err := os.MkdirTemp(filepath.Dir(path), privateFolderPattern)
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // it is empty, or the error says why not
	private := filepath.Join(folder, privateSocketName)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "unix", private)
	if err != nil {
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false) // it would remove the name that the socket had at first
	if err = os.Chmod(private, adminSocketMode); err == nil {
		err = os.Rename(private, path)
	}
	if err != nil {
		_ = listener.Close() // the first error is the one to report
		return nil, err
	}
	return &movedListener{listener, path}, nil
}

// movedListener removes the name that its socket was moved to when it is closed.
type movedListener struct {
	net.Listener
	path string
}

// Close closes the listener. Only its first call removes the name, which may be another process's by the next.
func (l *movedListener) Close() error {
	err := l.Listener.Close()
	if err == nil {
		_ = os.Remove(l.path) // a socket that is left behind is replaced at the next start
	}
	return err
}

// isServed tells whether a process accepts connections at the socket. An ended context would look like a socket that nobody
// serves, so it doesn't count here.
func isServed(ctx context.Context, path string) bool {
	dialer := net.Dialer{Timeout: adminTimeout}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "unix", path)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent on it
	return true
}

func (c *Coordinator) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, c.handleStatus)
	mux.HandleFunc("POST "+addMemberPath, c.handleAddMember)
	mux.HandleFunc("POST "+removeMemberPath, c.handleRemoveMember)
	mux.HandleFunc("GET "+metricsPath, c.handleMetrics)
	return mux
}

func (c *Coordinator) handleStatus(w http.ResponseWriter, r *http.Request) {
	status, err := c.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(NewStatusReport(c.index, status)) // fails only if the client has gone
}

func (c *Coordinator) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	c.metrics.set.WritePrometheus(w)
}

func (c *Coordinator) handleAddMember(w http.ResponseWriter, r *http.Request) {
	if agent, ok := agentOf(w, r); ok {
		answerChange(w, c.ChangeMembers(r.Context(), agent, noAgent))
	}
}

func (c *Coordinator) handleRemoveMember(w http.ResponseWriter, r *http.Request) {
	if agent, ok := agentOf(w, r); ok {
		answerChange(w, c.ChangeMembers(r.Context(), noAgent, agent))
	}
}

// agentOf reads the agent that a request names, or answers the request with what is wrong.
func agentOf(w http.ResponseWriter, r *http.Request) (agent int, ok bool) {
	value := r.FormValue(agentParameter)
	agent, err := strconv.Atoi(value)
	if err != nil || agent < 0 || agent >= election.MaxReplicas {
		reason := fmt.Sprintf("agent is %q, expected a number from 0 to %d", value, election.MaxReplicas-1)
		http.Error(w, reason, http.StatusBadRequest)
		return 0, false
	}
	return agent, true
}

func answerChange(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
