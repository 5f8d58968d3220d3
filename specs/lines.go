package specs

import (
	"bufio"
	"bytes"
	"strings"

	"github.com/currantloft/currantloft/finds"
)

type (
	// lineIndex holds the line number of each section and key of one file.
	lineIndex struct {
		file     string
		sections map[string]int
		keys     map[string]int
	}
)

// indexLines records the line of each section and key, and reports duplicates
// and lines that are neither a section nor a key.
func indexLines(file File, list *finds.List) *lineIndex {
	index := &lineIndex{
		file:     file.Name(),
		sections: make(map[string]int),
		keys:     make(map[string]int),
	}
	section := ""
	scanner := bufio.NewScanner(bytes.NewReader(file.Body()))
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[':
			section = index.addSection(line, number, list)
		default:
			index.addKey(section, line, number, list)
		}
	}
	if err := scanner.Err(); err != nil {
		list.Add(finds.Position{File: file.Name()}, "unreadable: %v", err)
	}
	return index
}

func (x *lineIndex) addSection(line string, number int, list *finds.List) string {
	position := finds.Position{File: x.file, Line: number, Key: line}
	if !strings.HasSuffix(line, "]") {
		list.Add(position, "want a section such as [pool forecast]")
		return ""
	}
	name := strings.TrimSpace(strings.Trim(line, "[]"))
	if first, ok := x.sections[name]; ok {
		list.Add(position, "section stands twice, first in line %d", first)
		return name
	}
	x.sections[name] = number
	return name
}

func (x *lineIndex) addKey(section, line string, number int, list *finds.List) {
	name, _, found := strings.Cut(line, "=")
	name = strings.TrimSpace(name)
	position := finds.Position{File: x.file, Line: number, Key: name}
	if !found {
		list.Add(position, "want key = value")
		return
	}
	if section == "" {
		list.Add(position, "key outside of a section")
		return
	}
	id := section + "." + name
	if first, ok := x.keys[id]; ok {
		list.Add(position, "key stands twice in [%s], first in line %d", section, first)
		return
	}
	x.keys[id] = number
}

// position returns the position of a key, or of its section if the key is absent.
func (x *lineIndex) position(section, key string) finds.Position {
	line, ok := x.keys[section+"."+key]
	if !ok {
		line = x.sections[section]
	}
	return finds.Position{File: x.file, Line: line, Key: key}
}
