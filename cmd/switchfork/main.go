// Command switchfork is one agent: it serves clients, sends their txns to appliances and votes on releases as the
// module decides. It reads what it is told through package charter and runs until SIGTERM;
// SIGHUP has it read the file again.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"switchfork/brain"
	"switchfork/charter"
	"switchfork/sockets"
)

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err := run(); err != nil {
		slog.Error("ends", "err", err)
		os.Exit(1)
	}
}

const (
	// heapPart of the told memory is the collector's limit; the rest is for stacks, buffers and the program.
	heapPart = 0.7
	// collectAt: live data is a few MB, so garbage may grow to several times it before it is worth the time.
	collectAt = 400
	// ownSockets: listener, peers, list, news and votes, the log and what the runtime holds, with room.
	ownSockets = 32
	// backlog is the longest that answers may take after their expiry before a drain gives up.
	backlog = 500 * time.Millisecond
)

func run() error {
	hangup := make(chan os.Signal, 1) // taken from here on: one that nobody takes ends the process
	signal.Notify(hangup, syscall.SIGHUP)
	file, err := charter.Read(os.Getenv)
	if err != nil {
		return err
	}
	post, ration, circle, seed := file.Post(), file.Ration(), file.Circle(), file.Seed()
	goods, customers := file.Settings.Goods(), file.Settings.Customers()
	zones, lines := file.Settings.Zones(), file.Settings.Lines()
	if err = file.Err(); err != nil {
		return err
	}
	module, err := file.Settings.Open(seed)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(max(1, math.Ceil(ration.Cores))))
	debug.SetMemoryLimit(int64(heapPart * float64(ration.MemoryMB) * (1 << 20)))
	debug.SetGCPercent(collectAt)

	var names []string
	var effects []brain.Effect
	var expiry []time.Duration
	longest := time.Duration(0)
	for _, g := range goods {
		names, effects, expiry = append(names, g.Name), append(effects, g.Effect), append(expiry, g.Expiry)
		longest = max(longest, g.Expiry)
	}
	purse := sockets.NewPurse(ration.Sockets - ownSockets)
	core := sockets.NewCore(module, sockets.NewClock())
	pool := sockets.NewPool(lines.Dial, lines.Idle, lines.Report, purse)
	roster := sockets.NewRoster(core, post.Discovery, zones, lines.Dial)
	launcher := sockets.NewLauncher(core, post.Launcher, lines.Dial, lines.Call)
	peers, err := sockets.NewPeers(core, circle.Listen, circle.Peers, circle.All)
	if err != nil {
		return err
	}
	front := sockets.NewFront(core, names, effects, expiry, customers, lines.OpenCap, lines.HoldOff, purse)

	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	if err = roster.Known(file.Known); err != nil {
		return err
	}
	if err = launcher.Known(file.News); err != nil {
		return err
	}
	go core.Serve(ctx, pool, launcher, peers)
	core.Settle(ctx) // no txn before the list and the news
	go roster.Serve(ctx)
	go launcher.Serve(ctx)
	go peers.Serve(ctx)
	if err = front.Listen(post.Listen); err != nil {
		return fmt.Errorf("setting config.listen: %w", err)
	}
	go func() {
		for range hangup {
			file = reload(file, roster, launcher)
		}
	}()
	slog.Info("serves", "agent", post.Name, "listen", post.Listen)
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	select {
	case err = <-served:
		return fmt.Errorf("serving clients: %w", err)
	case <-stopped.Done():
	}
	slog.Info("drains")
	wait, cancel := context.WithTimeout(ctx, longest+time.Second+backlog)
	defer cancel()
	if err = front.Drain(wait); err != nil {
		slog.Warn("drained with txns open", "err", err)
	}
	slog.Info("ended")
	return nil
}

// reload hands on what the file has changed that may change at work; a faulty file leaves all as it is.
func reload(file *charter.File, roster *sockets.Roster, launcher *sockets.Launcher) *charter.File {
	next, moved, left, err := file.Reread()
	if err != nil {
		slog.Error("reload: the old stays in force", "err", err)
		return file
	}
	slog.Info("reload", "discovery", moved.Discovery, "platform.address", moved.Launcher)
	if len(left) > 0 {
		slog.Warn("reload: other keys need a restart", "keys", left)
	}
	if moved.Discovery != "" {
		roster.Move(moved.Discovery)
	}
	if moved.Launcher != "" {
		launcher.Move(moved.Launcher)
	}
	return next
}
