package main

import (
	"os/exec"
	"runtime"
	"syscall"
)

// startChild starts a process that the system kills when this one ends, and closes done when it has ended.
func startChild(command *exec.Cmd, done chan struct{}) error {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	go func() {
		runtime.LockOSThread() // the parent of the process is this thread
		err := command.Start()
		started <- err
		if err == nil {
			_ = command.Wait()
			close(done)
		}
	}()
	return <-started
}
