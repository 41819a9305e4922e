package main

import (
	"slices"
	"testing"

	"switchfork/internal/options"
)

// A reload logs warnings only for old keywords that were not in the file before, even if the other old keywords are now on other lines.
func TestNewlyRenamed(t *testing.T) {
	warned := []options.RenamedKeyword{{Line: 1, Written: "door", Current: "admission-control"}}
	reloaded := []options.RenamedKeyword{
		{Line: 3, Written: "door", Current: "admission-control"},
		{Line: 4, Written: "come-back", Current: "retry-after"},
	}
	if got := newlyRenamed(warned, reloaded); !slices.Equal(got, reloaded[1:]) {
		t.Errorf("after a warning for door: got %v, want only come-back", got)
	}
	if got := newlyRenamed(nil, reloaded); !slices.Equal(got, reloaded) {
		t.Errorf("without earlier warnings: got %v, want door and come-back", got)
	}
}
