package faulttest

import (
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// The seeds 1 to 50 draw the scenarios that they have always drawn, so that a seed in a report replays what it has shown.
func TestDrawnScenariosAreStable(t *testing.T) {
	var drawn strings.Builder
	for seed := int64(1); seed <= 50; seed++ {
		drawn.WriteString(DrawScenario(seed))
	}
	golden.Check(t, "drawn_scenarios.golden", drawn.String())
}
