package config

// Error is a setting that is missing, malformed or in contradiction to another one.
type Error struct {
	Key    string // the setting's full key, as an operator finds it in the file
	Reason string // a clause that goes on from the key: "is missing", "is 0; ..."
}

// Error names the setting and what is wrong with it.
func (e *Error) Error() string { return "setting " + e.Key + " " + e.Reason }
