package protocol

import (
	"encoding/json"
	"fmt"

	"switchfork/internal/ratelog"
)

// maxLoadFigure is a bound, without a unit, that no queue length, count or utilization comes near.
const maxLoadFigure = 1e9

// ParseLoadReport reads the given fields of a load report, in their order. It returns nil where there is no report, it can't be read, or
// a field is missing or out of range.
func ParseLoadReport(raw []byte, fields []string) []float32 {
	if len(fields) == 0 || len(raw) == 0 {
		return nil
	}
	var figures map[string]float64
	if err := json.Unmarshal(raw, &figures); err != nil {
		ratelog.Warn("load report", "load report not readable", "err", err)
		return nil
	}
	load := make([]float32, len(fields))
	for i, field := range fields {
		figure, ok := figures[field]
		if !ok {
			ratelog.Warn("load report field", "load report lacks a field", "field", field, "report", fmt.Sprintf("%.80q", raw))
			return nil
		}
		isValid := figure >= 0 && figure < maxLoadFigure
		if !isValid {
			ratelog.Warn("load report value", "load report value out of range", "field", field, "value", figure)
			return nil
		}
		load[i] = float32(figure)
	}
	return load
}
