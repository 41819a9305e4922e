package protocol

import (
	"encoding/json"
	"fmt"

	"switchfork/internal/ratelog"
)

// Response is an appliance's, whole.
type Response struct {
	Result      Result
	Status      int
	ContentType string // its Content-Type
	Body        []byte
	Load        []float32
	IsLast      bool // the connection ends with it
}

const maxLoadFigure = 1e9 // no queue, count or share of a machine comes near it

// ParseLoadReport reads a load report's fields in the told order; nil where it can't be read or one is missing.
func ParseLoadReport(raw []byte, fields []string) []float32 {
	var said map[string]float64
	if len(fields) == 0 || len(raw) == 0 {
		return nil
	}
	if err := json.Unmarshal(raw, &said); err != nil {
		ratelog.Warn("report", "load report that can't be read", "err", err)
		return nil
	}
	out := make([]float32, len(fields))
	for i, f := range fields {
		v, ok := said[f]
		if !ok {
			ratelog.Warn("report field", "load report without a field", "field", f, "report", fmt.Sprintf("%.80q", raw))
			return nil
		}
		if !(v >= 0 && v < maxLoadFigure) {
			ratelog.Warn("report figure", "load report with a figure that can't be", "field", f, "figure", v)
			return nil
		}
		out[i] = float32(v)
	}
	return out
}
