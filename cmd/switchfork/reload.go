package main

import (
	"log/slog"
	"os"

	"switchfork/internal/config"
	"switchfork/internal/options"
)

// reloader reads the configuration and the operator's file again, and applies the changes that do not need a restart. Only the goroutine
// that calls run may access its fields.
type reloader struct {
	process *agentProcess
	file    *config.File     // the latest valid configuration
	options *options.Options // the latest valid options
}

func (p *agentProcess) newReloader() *reloader {
	return &reloader{process: p, file: p.file, options: p.options}
}

// run reloads both files at each signal.
func (r *reloader) run(hangup <-chan os.Signal) {
	for range hangup {
		r.reloadConfig()
		r.reloadOptions()
		if r.process.coordinator != nil {
			r.process.coordinator.setPeers(r.options.Coordinator.Peers)
		}
	}
}

// reloadConfig applies changed addresses. Other changed keys need a restart and are logged. An invalid file changes nothing.
func (r *reloader) reloadConfig() {
	reloaded, err := r.file.Reload()
	if err != nil {
		slog.Error("configuration not reloaded: the old stays in force", "err", err)
		return
	}
	moved := reloaded.Moved
	slog.Info("configuration reloaded", "discovery", moved.Discovery, "platform.address", moved.Rollout)
	if len(reloaded.Unapplied) > 0 {
		slog.Warn("changed configuration keys need a restart", "keys", reloaded.Unapplied)
	}
	if moved.Discovery != "" {
		r.process.discovery.Move(moved.Discovery)
	}
	if moved.Rollout != "" {
		r.process.rollout.Move(moved.Rollout)
	}
	r.file = reloaded.File
}

// reloadOptions applies log settings and tenant weights; run applies the addresses of election-peer. Other changed keywords need a restart
// and are logged. An invalid file changes nothing.
func (r *reloader) reloadOptions() {
	if r.options.Path == "" {
		return
	}
	next, err := options.Read(r.options.Path)
	if err != nil {
		slog.Error("options not reloaded: the old ones stay in force", "err", err)
		return
	}
	setLogger(next.Log)
	warnOfRenamed(newlyRenamed(r.options.Renamed, next.Renamed))
	if r.process.admission != nil {
		settings := r.process.settings
		r.process.admission.SetWeights(tenantWeights(next.Admission, settings.tenants, settings.tenantShares))
	}
	if unapplied := r.options.ChangedKeywords(next); len(unapplied) > 0 {
		slog.Warn("changed options need a restart", "keywords", unapplied)
	}
	slog.Info("options reloaded", "file", next.Path)
	r.options = next
}
