package coordinator

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
)

// Other users can't connect to the admin socket at any moment. The test guards against opening the socket with the permissions that the
// umask leaves and changing its mode afterwards: between the two calls another local user could connect, and a connection outlives the
// change.
func TestAdminSocketIsNeverOpenToOthers(t *testing.T) {
	const opens = 300
	earlier := syscall.Umask(0)
	defer syscall.Umask(earlier)
	path := filepath.Join(t.TempDir(), "admin.sock")
	var exposed atomic.Int64
	watchCtx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for watchCtx.Err() == nil {
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
		t.Errorf("admin socket seen %d times with permissions other than %o", n, adminSocketMode)
	}
}
