package main

import (
	"os"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"
)

// progressBarWidth is the width of a progress bar in characters.
const progressBarWidth = 20

// newProgressBar returns a progress bar on standard error, or nil if standard error is not a terminal.
func newProgressBar(steps int) *progressbar.ProgressBar {
	if !term.IsTerminal(int(os.Stderr.Fd())) {
		return nil
	}
	return progressbar.NewOptions(steps, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(),
		progressbar.OptionSetWidth(progressBarWidth))
}
