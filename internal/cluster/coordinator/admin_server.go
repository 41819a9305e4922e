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
	statusPath     = "/lead"
	memberPath     = "/members/" // followed by the MemberChangeKind
	metricsPath    = "/metrics"
	agentParameter = "agent"
)

// AdminAddressInUseError tells that another process serves the admin address.
type AdminAddressInUseError struct{ Path string }

func (e *AdminAddressInUseError) Error() string {
	return fmt.Sprintf("opening the admin socket %s: another process serves it", e.Path)
}

// ServeAdmin begins to serve the admin address, a Unix socket, and returns; it is served until the context ends. A socket that an
// ended agent has left behind is replaced, one that a process still serves is not.
func (c *Coordinator) ServeAdmin(ctx context.Context, path string) error {
	listener, err := listenAdmin(ctx, path)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           (&adminServer{c}).handler(),
		ReadHeaderTimeout: adminTimeout,
		IdleTimeout:       adminTimeout,
	}
	context.AfterFunc(ctx, func() {
		_ = server.Close() // the agent ends
	})
	go func() {
		_ = server.Serve(listener) // without its admin address an agent serves on
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
		return nil, fmt.Errorf("opening the admin socket %s: %w", path, err)
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

// adminServer answers the requests at the admin address. It has no state of its own.
type adminServer struct{ coordinator *Coordinator }

func (s *adminServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+statusPath, s.handleStatus)
	mux.HandleFunc("GET "+metricsPath, s.handleMetrics)
	for _, kind := range []MemberChangeKind{AddMember, RemoveMember} {
		mux.HandleFunc("POST "+memberPath+string(kind), func(w http.ResponseWriter, r *http.Request) {
			s.handleMemberChange(w, r, kind)
		})
	}
	return mux
}

func (s *adminServer) handleStatus(w http.ResponseWriter, r *http.Request) {
	status, err := s.coordinator.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(NewStatusReport(s.coordinator.index, status)) // fails only if the client has gone
}

func (s *adminServer) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.coordinator.Metrics().WritePrometheus(w)
}

func (s *adminServer) handleMemberChange(w http.ResponseWriter, r *http.Request, kind MemberChangeKind) {
	agent, err := parseAgent(r.FormValue(agentParameter))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err = s.coordinator.ChangeMembers(r.Context(), MemberChange{kind, agent}); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// InvalidAgentError tells that a request names no agent.
type InvalidAgentError struct{ Value string }

func (e *InvalidAgentError) Error() string {
	return fmt.Sprintf("agent is %q, expected a number from 0 to %d", e.Value, election.MaxReplicas-1)
}

func parseAgent(value string) (int, error) {
	agent, err := strconv.Atoi(value)
	if err != nil || agent < 0 || agent >= election.MaxReplicas {
		return 0, &InvalidAgentError{value}
	}
	return agent, nil
}
