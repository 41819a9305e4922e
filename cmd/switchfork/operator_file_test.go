package main

import (
	"slices"
	"testing"

	"switchfork/internal/options"
)

// A reload logs warnings only for old keywords that were not in the file before, whatever lines they are on now.
func TestNewlyRenamed(t *testing.T) {
	warned := []options.RenamedKeyword{{Line: 1, Written: "door", Current: "admission-control"}}
	reloaded := []options.RenamedKeyword{
		{Line: 3, Written: "door", Current: "admission-control"},
		{Line: 4, Written: "come-back", Current: "retry-after"},
	}
	if got := newlyRenamed(warned, reloaded); !slices.Equal(got, reloaded[1:]) {
		t.Errorf("got %v", got)
	}
	if got := newlyRenamed(nil, reloaded); !slices.Equal(got, reloaded) {
		t.Errorf("got %v", got)
	}
}
