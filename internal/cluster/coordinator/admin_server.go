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
	// adminTimeout bounds how long the server waits for the headers of a request or for the next request, how long a client's
	// request may take, and how long isServed tries to connect to the socket.
	adminTimeout = 2 * time.Second
	// adminSocketMode lets only the agent's own user connect to the socket.
	adminSocketMode = 0o600
	// privateFolderPattern and privateSocketName name the temporary folder in which the socket is created, and the socket there. They
	// are short because the path of a Unix socket is limited to about a hundred bytes.
	privateFolderPattern = ".a*"
	privateSocketName    = "s"
)

// URL paths of the admin address, and the form parameter of a member change.
const (
	statusPath     = "/lead"
	memberPath     = "/members/" // followed by a MemberChangeKind
	metricsPath    = "/metrics"
	agentParameter = "agent"
)

// AdminAddressInUseError reports that another process serves the admin address.
type AdminAddressInUseError struct{ Path string }

func (e *AdminAddressInUseError) Error() string {
	return fmt.Sprintf("opening the admin socket %s: another process serves it", e.Path)
}

// ServeAdmin starts serving the admin address, a Unix socket at path, and returns. The address is served until the context ends. A
// socket left behind by an agent that has ended is replaced; a socket that a process still serves is not.
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
		_ = server.Close() // the agent is shutting down, so an error has no consequence
	})
	go func() {
		_ = server.Serve(listener) // an agent continues to run without its admin address
	}()
	return nil
}

// listenAdmin opens the Unix socket at path. It replaces a socket that no process serves.
func listenAdmin(ctx context.Context, path string) (net.Listener, error) {
	if isServed(ctx, path) {
		return nil, &AdminAddressInUseError{path}
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		_ = os.Remove(path) // if this fails, listenPrivately reports why the address can't be used
	}
	listener, err := listenPrivately(ctx, path)
	if err != nil {
		return nil, fmt.Errorf("opening the admin socket %s: %w", path, err)
	}
	return listener, nil
}

// listenPrivately opens a Unix socket to which only the agent's own user can connect, from its creation on. The system creates a
// socket with the permissions that the umask leaves. The socket is therefore created in a temporary folder that other users can't
// enter, and moved to path after its mode is set.
func listenPrivately(ctx context.Context, path string) (net.Listener, error) {
	folder, err := os.MkdirTemp(filepath.Dir(path), privateFolderPattern)
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }() // the folder is empty by now, or the returned error says why not
	private := filepath.Join(folder, privateSocketName)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "unix", private)
	if err != nil {
		return nil, err
	}
	listener.(*net.UnixListener).SetUnlinkOnClose(false) // closing would remove the path at which the socket was created
	if err = os.Chmod(private, adminSocketMode); err == nil {
		err = os.Rename(private, path)
	}
	if err != nil {
		_ = listener.Close() // the first error is the one to report
		return nil, err
	}
	return &movedListener{listener, path}, nil
}

// movedListener listens on a Unix socket that was moved to path after its creation.
type movedListener struct {
	net.Listener
	path string
}

// Close closes the listener and removes the socket from its path. Only the first call removes it, because the path may belong to
// another process by the time of a further call.
func (l *movedListener) Close() error {
	err := l.Listener.Close()
	if err == nil {
		_ = os.Remove(l.path) // a socket that is left behind is replaced at the next start
	}
	return err
}

// isServed reports whether a process accepts connections at the socket. It ignores the end of the context, because a dial that fails
// for that reason would look like a socket that no process serves.
func isServed(ctx context.Context, path string) bool {
	dialer := net.Dialer{Timeout: adminTimeout}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "unix", path)
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent on the connection
	return true
}

// adminServer answers the requests at the admin address. It holds no state.
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
	_ = json.NewEncoder(w).Encode(NewStatusReport(s.coordinator.index, status)) // fails only if the client has disconnected
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

// InvalidAgentError reports that the agent parameter of a request is not a valid agent number.
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
