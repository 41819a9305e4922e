package config

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// numericSettings holds every numeric setting, each with a valid value.
const numericSettings = validSettings + `Parties.count=1
Parties.0.Name=acme
Parties.0.Fraction=1
Grades.0.LateValue=0.2
FamilyInfo.TallyEveryMs=500
FamilyInfo.TallySample=0.5
Safety.AskWithinMs=6000
Limits.RetryAfter=true
Limits.MaxRetryAfterMs=500
Limits.DialTimeoutMs=250
Limits.ConnIdleMs=30000
Limits.OpenCap=500
Charges.CrossZone=0.1
Charges.Waste=0.1
Charges.Probe=0.1
Charges.Peer=0.1
`

// faultyNumbers are values that are valid for no numeric key.
var faultyNumbers = []string{"-1", "NaN", "+Inf", "-Inf", "1e300", "1e13", "", "many"}

// readAll reads every setting that an agent reads. It returns a panic as an error.
func readAll(settings *Settings) (err error) {
	defer func() {
		if reason := recover(); reason != nil {
			err = fmt.Errorf("panic: %v", reason)
		}
	}()
	settings.RequestClasses()
	settings.Tenants()
	settings.TenantShares()
	settings.ClassPriorities()
	settings.Zones()
	settings.Connections()
	settings.Voting()
	if err := settings.Err(); err != nil {
		return err
	}
	_, err = settings.NewRouter(1)
	return err
}

// An invalid number in the settings must give an error that names its key, and must not cause a panic. Parties.count used to be converted
// without a check: a negative, infinite or huge count made TenantShares panic, and the stack trace did not name the key. Numbers without a
// unit had no bounds, and lists accepted even NaN.
func TestFaultyNumbersNameTheirKey(t *testing.T) {
	if err := readAll(ParsePairs(numericSettings)); err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(numericSettings) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		first, rest, isList := strings.Cut(value, ",")
		if first[0] < '0' || first[0] > '9' {
			continue
		}
		for _, number := range append([]string{"0"}, faultyNumbers...) {
			replaced := number
			if isList {
				replaced += "," + rest
			}
			text := strings.Replace("\n"+numericSettings, "\n"+key+"="+value+"\n", "\n"+key+"="+replaced+"\n", 1)
			err := readAll(ParsePairs(text))
			var fault *Error
			isRefused := errors.As(err, &fault)
			switch {
			case err != nil && !isRefused:
				t.Errorf("%s=%s: got %v, want an *Error or none", key, replaced, err)
			case number != "0" && (!isRefused || fault.Key != key):
				t.Errorf("%s=%s: got %v, want an error that names the key", key, replaced, err)
			}
		}
	}
}

// An invalid number among the agent's resource limits must give an error that names its key, too.
func TestFaultyLimitsNameTheirKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	for _, key := range []string{"cores", "memory_mb", "sockets"} {
		for _, number := range append([]string{"0"}, faultyNumbers...) {
			writeConfig(t, path, map[string]any{"limits": map[string]any{key: number}}, "")
			file, err := loadFrom(path)
			if err != nil {
				t.Fatal(err)
			}
			var fault *Error
			if err = file.Validate(); !errors.As(err, &fault) || fault.Key != "config.limits."+key {
				t.Errorf("%s=%s: got %v, want an error that names the key", key, number, err)
			}
		}
	}
}
