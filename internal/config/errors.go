package config

// Error describes a setting that is missing or malformed, or that contradicts another setting.
type Error struct {
	Key    string // the setting's full key, such as config.settings.Zone
	Reason string // what is wrong, worded to follow the key in a message: "is missing", "is 0, expected ..."
}

// Error returns the setting's key and what is wrong with it.
func (e *Error) Error() string { return "setting " + e.Key + " " + e.Reason }
