package faulttest

import (
	"strings"
	"testing"

	"switchfork/internal/golden"
)

// The scenarios drawn from seeds 1 to 50 do not change, so that a seed from an earlier report still replays the reported scenario.
func TestDrawnScenariosAreStable(t *testing.T) {
	var drawn strings.Builder
	for seed := int64(1); seed <= 50; seed++ {
		drawn.WriteString(DrawScenario(seed))
	}
	golden.Check(t, "drawn_scenarios.golden", drawn.String())
}
