package options

import (
	"fmt"
	"io"
	"slices"
)

// Write writes the options as a file that Parse reads back, with every default.
func (o *Options) Write(to io.Writer) {
	for _, name := range sortedKeywords() {
		for _, values := range keywords[name].format(o) {
			// The output is for an operator's terminal: a failure there has no other place to be reported.
			_, _ = fmt.Fprintf(to, "%s %s\n", name, values)
		}
	}
}

// ChangedKeywords returns the keywords that differ in other options and that a reload can't put into force.
func (o *Options) ChangedKeywords(other *Options) []string {
	var changed []string
	for _, name := range sortedKeywords() {
		definition := keywords[name]
		if !definition.isReloadable && !slices.Equal(definition.format(o), definition.format(other)) {
			changed = append(changed, name)
		}
	}
	return changed
}
