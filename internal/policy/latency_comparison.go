package policy

import "switchfork/internal/stats"

const (
	latencyWindowSize          = 30   // number of answers over which the median is taken
	evaluatorLatencyWindowSize = 300  // the same for an evaluator, which gets the answers of all agents
	baselineLatencyWeight      = 0.02 // lowest weight of one answer in its class's baseline mean
)

// latencyComparison compares the latency of answers with the mean latency of their class in the baseline. The slowdown detector
// passes it the latencies.
type latencyComparison struct {
	baselineMeans     []float64 // µs, by class
	baselineCounts    []float64 // number of answers in the baseline, by class
	relativeLatencies []float64 // latencies of the last answers, each divided by the baseline mean of its class
	windowSize        int       // number of relative latencies that are kept, and that a median needs
	baselineMedian    float64   // median relative latency in the baseline; 0: unknown
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

// addToBaseline adds an answer to the baseline mean of its class, which is a plain mean at first and then a moving one.
func (c *latencyComparison) addToBaseline(class int, elapsed float64) {
	c.baselineCounts[class]++
	weight := max(baselineLatencyWeight, 1/c.baselineCounts[class])
	c.baselineMeans[class] = stats.MovingMean(c.baselineMeans[class], elapsed, weight)
}

// add adds the relative latency of an answer to the window, if the baseline of its class is known.
func (c *latencyComparison) add(class int, elapsed float64) {
	if !c.hasBaseline(class) {
		return
	}
	c.relativeLatencies = append(c.relativeLatencies, elapsed/c.baselineMeans[class])
	c.relativeLatencies = c.relativeLatencies[max(0, len(c.relativeLatencies)-c.windowSize):]
}

// isWindowFull reports whether there are enough answers for a median.
func (c *latencyComparison) isWindowFull() bool { return len(c.relativeLatencies) >= c.windowSize }

// median returns the median relative latency, or 0 if there are too few answers. The first median initializes baselineMedian.
func (c *latencyComparison) median() float64 {
	if !c.isWindowFull() {
		return 0
	}
	median := stats.Median(c.relativeLatencies)
	if c.baselineMedian == 0 {
		c.baselineMedian = median
	}
	return median
}

// addMedianToBaseline moves baselineMedian towards median, unless median is 0 (unknown).
func (c *latencyComparison) addMedianToBaseline(median, weight float64) {
	if median > 0 {
		c.baselineMedian = stats.MovingMean(c.baselineMedian, median, weight)
	}
}
