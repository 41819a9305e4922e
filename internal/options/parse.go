package options

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/google/shlex"
)

// minSimilarity is the Levenshtein similarity, from 0 to 1, above which a keyword is suggested for an unknown one.
const minSimilarity = 0.5

// Read reads the file at path. The error is a FileErrors if the file could be read but its contents are invalid.
func Read(path string) (*Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, bytes.NewReader(raw))
}

// Parse reads the text of a file. Error messages refer to the file by path. The error is a FileErrors.
func Parse(path string, text io.Reader) (*Options, error) {
	p := parser{options: Defaults(), firstUses: map[string]firstUse{}}
	p.options.Path = path
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		p.line++
		p.parseLine(lines.Text())
	}
	if lines.Err() != nil {
		p.line++
		p.recordError("", "the line is too long")
	}
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.options, nil
}

// firstUse is the first occurrence of a keyword.
type firstUse struct {
	line    int
	written string // the name in that line: the keyword's current or old name
}

// parser holds the state of parsing one file.
type parser struct {
	options   *Options
	line      int
	firstUses map[string]firstUse // the key is the keyword's current name, followed by the first value if the keyword is repeatable
	errors    FileErrors
}

func (p *parser) recordError(keyword, reason string) {
	p.errors = append(p.errors, FileError{Path: p.options.Path, Line: p.line, Keyword: keyword, Reason: reason})
}

func (p *parser) parseLine(text string) {
	words, err := shlex.Split(text)
	if err != nil {
		p.recordError("", "unterminated quote")
		return
	}
	if len(words) == 0 {
		return
	}
	written, values := words[0], words[1:]
	if err := p.parseKeyword(written, values); err != nil {
		p.recordError(written, err.Error())
		return
	}
	p.recordRenamed(written)
}

func (p *parser) parseKeyword(written string, values []string) error {
	name := currentName(written)
	definition, ok := keywords[name]
	if !ok {
		return fmt.Errorf("unknown keyword, %s", suggestKeyword(written))
	}
	if len(values) == 0 || len(values) > definition.maxValues {
		return fmt.Errorf("has %d values, expected %s", len(values), definition.syntax)
	}
	identity := name
	if definition.isRepeatable {
		identity += " " + values[0]
	}
	if first, ok := p.firstUses[identity]; ok {
		return &duplicateError{first: first, written: written}
	}
	p.firstUses[identity] = firstUse{line: p.line, written: written}
	return definition.parse(p.options, values)
}

// recordRenamed records an old keyword when it occurs for the first time.
func (p *parser) recordRenamed(written string) {
	current := currentName(written)
	isRecorded := slices.ContainsFunc(p.options.Renamed, func(k RenamedKeyword) bool { return k.Written == written })
	if current == written || isRecorded {
		return
	}
	p.options.Renamed = append(p.options.Renamed, RenamedKeyword{Path: p.options.Path, Line: p.line, Written: written, Current: current})
}

// suggestKeyword suggests the keyword whose current or old name is most similar to an unknown one. If none is similar enough, it
// lists all keywords.
func suggestKeyword(unknown string) string {
	nearest, similarity := "", minSimilarity
	consider := func(name string) {
		if match := levenshtein.Match(unknown, name, nil); match > similarity {
			nearest, similarity = currentName(name), match
		}
	}
	for _, name := range sortedKeywords() {
		consider(name)
	}
	for _, name := range slices.Sorted(maps.Keys(currentNames)) {
		consider(name)
	}
	if nearest == "" {
		return "expected one of " + strings.Join(sortedKeywords(), ", ")
	}
	return "the most similar one is " + nearest
}
