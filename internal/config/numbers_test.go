package config

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// numericSettings has every number that the settings may hold, with a sensible value each.
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

// faultyNumbers are no sensible value of any key.
var faultyNumbers = []string{"-1", "NaN", "+Inf", "-Inf", "1e300", "1e13", "", "many"}

// readAll reads all that an agent reads of the settings. A panic is returned as an error.
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

// No number in the settings ends the start with a panic; one that makes no sense is refused by its key. What happened: Parties.count was
// converted as it stood, and a negative, infinite or huge count panicked in TenantShares with a stack trace that named no key. The numbers
// without a unit were bounded nowhere, and in lists not even NaN was refused.
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
				t.Errorf("%s=%s: %v", key, replaced, err)
			case number != "0" && (!isRefused || fault.Key != key):
				t.Errorf("%s=%s: got %v, want an error that names the key", key, replaced, err)
			}
		}
	}
}

// The same holds for the agent's own limits.
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
