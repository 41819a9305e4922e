package protocol

import (
	"encoding/json"
	"fmt"

	"switchfork/internal/ratelog"
)

// maxLoadValue is the exclusive upper limit of a value in a load report. It has no unit: the value may be a queue length, a count or a
// utilization, all of which stay far below the limit.
const maxLoadValue = 1e9

// ParseLoadReport returns the values of the given fields of a load report, in the order of fields. It returns nil if fields or the report
// is empty, if the report can't be parsed, or if a field is missing or out of range.
func ParseLoadReport(raw []byte, fields []string) []float32 {
	if len(fields) == 0 || len(raw) == 0 {
		return nil
	}
	var values map[string]float64
	if err := json.Unmarshal(raw, &values); err != nil {
		ratelog.Warn("load report", "load report not readable", "err", err)
		return nil
	}
	load := make([]float32, len(fields))
	for i, field := range fields {
		value, ok := values[field]
		if !ok {
			ratelog.Warn("load report field", "load report lacks a field", "field", field, "report", fmt.Sprintf("%.80q", raw))
			return nil
		}
		isValid := value >= 0 && value < maxLoadValue
		if !isValid {
			ratelog.Warn("load report value", "load report value out of range", "field", field, "value", value)
			return nil
		}
		load[i] = float32(value)
	}
	return load
}
