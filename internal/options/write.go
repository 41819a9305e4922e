package options

import (
	"fmt"
	"io"
	"slices"
)

// Write writes all options, including those with default values, in the format that Parse reads.
func (o *Options) Write(to io.Writer) {
	for _, name := range sortedKeywords() {
		for _, values := range keywords[name].format(o) {
			// The output goes to an operator's terminal. A failed write could not be reported elsewhere.
			_, _ = fmt.Fprintf(to, "%s %s\n", name, values)
		}
	}
}

// ChangedKeywords returns the keywords whose values differ between o and other and which a reload can't apply.
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
