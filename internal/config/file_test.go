package config

import (
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// writeConfig writes a complete configuration file. keys holds replacements of the file's top-level keys, and the lines
// of settings replace or add settings of the deployment.
func writeConfig(t *testing.T, path string, keys map[string]any, settings string) {
	t.Helper()
	config := map[string]any{
		"name": "agent-1", "listen": "127.0.0.1:80", "seed": "00ff", "discovery": "127.0.0.1:81",
		"platform": map[string]any{"address": "127.0.0.1:82"},
	}
	maps.Copy(config, keys)
	deployment := map[string]any{"Grades": []any{map[string]any{}}}
	lines := validSettings + "Limits.DialTimeoutMs=250\nLimits.ConnIdleMs=30000\n" + settings
	for line := range strings.Lines(lines) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		setPath(deployment, strings.Split(key, "."), value)
	}
	config["settings"] = deployment
	raw, err := json.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	if err = os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

func setPath(object map[string]any, path []string, value string) {
	switch {
	case path[0] == "Grades" && path[1] == "count":
	case path[0] == "Grades":
		object["Grades"].([]any)[0].(map[string]any)[path[2]] = value
	case len(path) == 1:
		object[path[0]] = value
	default:
		section, ok := object[path[0]].(map[string]any)
		if !ok {
			section = map[string]any{}
			object[path[0]] = section
		}
		section[path[1]] = value
	}
}

func loadFrom(path string) (*File, error) {
	return Load(func(variable string) string {
		if variable == envConfig {
			return path
		}
		return ""
	})
}

func TestValidateNamesFaultyKey(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, nil, "")
	file, err := loadFrom(path)
	if err != nil {
		t.Fatal(err)
	}
	if err = file.Validate(); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		keys map[string]any
		want Error
	}{
		{map[string]any{"listen": "here"}, Error{"config.listen", `is "here", not host:port`}},
		{map[string]any{"seed": "xyz"}, Error{"config.seed", `is "xyz", expected a hexadecimal number of up to 64 bits`}},
		{map[string]any{"limits": map[string]any{"memory_mb": 8}}, Error{"config.limits.memory_mb", "is 8, expected at least 32"}},
		{map[string]any{"limits": map[string]any{"sockets": 8}}, Error{"config.limits.sockets", "is 8, expected at least 64"}},
	} {
		writeConfig(t, path, test.keys, "")
		if file, err = loadFrom(path); err != nil {
			t.Fatal(err)
		}
		var fault *Error
		if err = file.Validate(); !errors.As(err, &fault) || *fault != test.want {
			t.Errorf("%v: got %v, want %v", test.keys, err, &test.want)
		}
	}
}

func TestReloadReportsChanges(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, nil, "Limits.OpenCap=50\n")
	file, err := loadFrom(path)
	if err != nil {
		t.Fatal(err)
	}
	changes := map[string]any{"discovery": "127.0.0.1:91", "name": "agent-2", "seed": "01"}
	writeConfig(t, path, changes, "Limits.OpenCap=60\nLimits.Cancel=true\n")
	reloaded, err := file.Reload()
	if err != nil {
		t.Fatal(err)
	}
	wantLeft := []string{"config.name", "config.settings.Limits.Cancel", "config.settings.Limits.OpenCap"}
	if reloaded.Moved != (UpstreamAddresses{Discovery: "127.0.0.1:91"}) || !reflect.DeepEqual(reloaded.Unapplied, wantLeft) || reloaded.File == file {
		t.Errorf("got moved addresses %+v and unapplied keys %v, want only the new discovery address, the keys of the name and of two limits, and a new File", reloaded.Moved, reloaded.Unapplied)
	}
	writeConfig(t, path, nil, "Limits.OpenCap=some\n")
	if after, err := reloaded.File.Reload(); err == nil || after.File != nil || after.Moved != (UpstreamAddresses{}) || after.Unapplied != nil {
		t.Errorf("invalid file: got %+v, %v, want an error and no changes", after, err)
	}
}
