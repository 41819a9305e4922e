package coordinator

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
)

// The admin socket is never open to other users, not for a moment. What happened: the socket was opened with the permissions of the umask,
// and its mode was changed after that; between the two calls another local user could connect, and a connection outlives the change.
func TestAdminSocketIsNeverOpenToOthers(t *testing.T) {
	const opens = 300
	earlier := syscall.Umask(0)
	defer syscall.Umask(earlier)
	path := filepath.Join(t.TempDir(), "admin.sock")
	var exposed atomic.Int64
	watched, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for watched.Err() == nil {
			if info, err := os.Lstat(path); err == nil && info.Mode().Perm() != adminSocketMode {
				exposed.Add(1)
			}
		}
	}()
	for range opens {
		listener, err := listenAdmin(t.Context(), path)
		if err != nil {
			t.Fatal(err)
		}
		if err = listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	<-ended
	if n := exposed.Load(); n > 0 {
		t.Errorf("seen %d times with other permissions than %o", n, adminSocketMode)
	}
}
