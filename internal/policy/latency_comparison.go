package policy

import "switchfork/internal/stats"

const (
	latencyWindowSize          = 30  // answers that the median is taken of
	evaluatorLatencyWindowSize = 300 // the same for an evaluator, which gets the answers of all agents
	baselineLatencyWeight      = 0.02
)

// latencyComparison compares answers with the mean latency of their class in the baseline. The slowdown detector feeds it.
type latencyComparison struct {
	baselineMeans  []float64 // µs, by class
	baselineCounts []float64 // answers, by class
	relative       []float64 // the last answers over their class's baseline
	windowSize     int
	baselineMedian float64 // of the relative latencies; 0: not known
}

func newLatencyComparison(classCount int, isEvaluator bool) latencyComparison {
	comparison := latencyComparison{
		baselineMeans:  make([]float64, classCount),
		baselineCounts: make([]float64, classCount),
		windowSize:     latencyWindowSize,
	}
	if isEvaluator {
		comparison.windowSize = evaluatorLatencyWindowSize
	}
	return comparison
}

// hasBaseline reports whether a class's baseline is known.
func (c *latencyComparison) hasBaseline(class int) bool {
	return c.baselineCounts[class] >= minOutcomes
}

// addToBaseline moves a class's baseline by an answer: a plain mean at first, then a moving one.
func (c *latencyComparison) addToBaseline(class int, elapsed float64) {
	c.baselineCounts[class]++
	weight := max(baselineLatencyWeight, 1/c.baselineCounts[class])
	c.baselineMeans[class] = stats.MovingMean(c.baselineMeans[class], elapsed, weight)
}

// add compares an answer with its class's baseline, where that is known.
func (c *latencyComparison) add(class int, elapsed float64) {
	if !c.hasBaseline(class) {
		return
	}
	c.relative = append(c.relative, elapsed/c.baselineMeans[class])
	c.relative = c.relative[max(0, len(c.relative)-c.windowSize):]
}

// isWindowFull reports whether there are enough answers for a median.
func (c *latencyComparison) isWindowFull() bool { return len(c.relative) >= c.windowSize }

// median is the median relative latency, 0 without enough answers. The first one begins the baseline's.
func (c *latencyComparison) median() float64 {
	if !c.isWindowFull() {
		return 0
	}
	median := stats.Median(c.relative)
	if c.baselineMedian == 0 {
		c.baselineMedian = median
	}
	return median
}

// addMedianToBaseline moves the baseline's median by one that is known.
func (c *latencyComparison) addMedianToBaseline(median, weight float64) {
	if median > 0 {
		c.baselineMedian = stats.MovingMean(c.baselineMedian, median, weight)
	}
}
