package options

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/agext/levenshtein"
	"github.com/google/shlex"
)

// minSimilarity is the similarity above which a keyword is suggested for an unknown one.
const minSimilarity = 0.5

// Read reads the file at a path. The error is a FileErrors if the file could be opened, but has faults.
func Read(path string) (*Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	return Parse(path, bytes.NewReader(raw))
}

// Parse reads a file's text; path is what messages call it. The error is a FileErrors.
func Parse(path string, text io.Reader) (*Options, error) {
	p := parser{options: Defaults(), firstLines: map[string]int{}}
	p.options.Path = path
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		p.line++
		p.parseLine(lines.Text())
	}
	if lines.Err() != nil {
		p.line++
		p.recordError("", "a line is too long to be read")
	}
	if len(p.errors) > 0 {
		return nil, p.errors
	}
	return p.options, nil
}

// parser reads one file.
type parser struct {
	options    *Options
	line       int
	firstLines map[string]int // where a keyword was met first, with its first value if it is repeatable
	errors     FileErrors
}

func (p *parser) recordError(keyword, reason string) {
	p.errors = append(p.errors, FileError{Path: p.options.Path, Line: p.line, Keyword: keyword, Why: reason})
}

func (p *parser) parseLine(text string) {
	words, err := shlex.Split(text)
	if err != nil {
		p.recordError("", "a quote that does not end")
		return
	}
	if len(words) == 0 {
		return
	}
	name, values := words[0], words[1:]
	if err := p.parseKeyword(name, values); err != nil {
		p.recordError(name, err.Error())
		return
	}
	p.options.Keywords = append(p.options.Keywords, name)
}

func (p *parser) parseKeyword(name string, values []string) error {
	definition, ok := keywords[name]
	if !ok {
		return fmt.Errorf("no such keyword, %s", suggestKeyword(name))
	}
	if len(values) == 0 || len(values) > definition.maxValues {
		return fmt.Errorf("has %d values, expected %s", len(values), definition.syntax)
	}
	identity := name
	if definition.isRepeatable {
		identity += " " + values[0]
	}
	if first, ok := p.firstLines[identity]; ok {
		return fmt.Errorf("stands on line %d already", first)
	}
	p.firstLines[identity] = p.line
	return definition.parse(p.options, values)
}

// suggestKeyword names the keyword that is most similar to an unknown one, or else all of them.
func suggestKeyword(name string) string {
	nearest, similarity := "", minSimilarity
	for _, candidate := range sortedKeywords() {
		if match := levenshtein.Match(name, candidate, nil); match > similarity {
			nearest, similarity = candidate, match
		}
	}
	if nearest == "" {
		return "known are " + strings.Join(sortedKeywords(), ", ")
	}
	return "the nearest is " + nearest
}
