package main

import (
	"log/slog"
	"os"
	"slices"

	"switchfork/internal/options"
)

// readOptions reads the operator's file, or returns the defaults if path is empty.
func readOptions(path string) (*options.Options, error) {
	if path == "" {
		return options.Defaults(), nil
	}
	return options.Read(path)
}

// warnOfRenamed logs a warning for each old keyword in the operator's file.
func warnOfRenamed(renamed []options.RenamedKeyword) {
	for _, keyword := range renamed {
		slog.Warn("option renamed: the old name is still read", "file", keyword.Path, "line", keyword.Line, "keyword", keyword.Written, "new_name", keyword.Current)
	}
}

// newlyRenamed returns the old keywords in a reloaded file for which no warning was logged before.
func newlyRenamed(warned, renamed []options.RenamedKeyword) (unwarned []options.RenamedKeyword) {
	for _, keyword := range renamed {
		isWarned := slices.ContainsFunc(warned, func(k options.RenamedKeyword) bool { return k.Written == keyword.Written })
		if !isWarned {
			unwarned = append(unwarned, keyword)
		}
	}
	return unwarned
}

// setLogger sets the log's level and format.
func setLogger(opts options.Log) {
	var level slog.Level
	_ = level.UnmarshalText([]byte(opts.Level)) // the level was checked when the options were read
	handlerOptions := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(os.Stderr, handlerOptions)
	if opts.Format == "json" {
		handler = slog.NewJSONHandler(os.Stderr, handlerOptions)
	}
	slog.SetDefault(slog.New(handler))
}
