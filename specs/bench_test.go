package specs

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkParse parses declarations of 3500 endpoints, the largest fleet that the
// design allows for, and of 700, a fifth of them. Each runs with a new parser, and
// with a parser that has parsed the same files before.
func BenchmarkParse(b *testing.B) {
	for _, endpoints := range []int{700, 3500} {
		var text strings.Builder
		text.WriteString("[pool p]\nserve = 1\n")
		for i := range endpoints {
			fmt.Fprintf(&text, "[endpoint sampler-%d]\npool = p\nurl = http://127.0.0.1:%d\ndomain = d%d\n", i, 1000+i, i%11)
		}
		files := []File{NewFile("pools.ini", []byte(text.String()))}
		for name, parser := range map[string]func() *Parser{"new parser": NewParser, "unchanged files": reuse(NewParser())} {
			b.Run(fmt.Sprintf("%d %s", endpoints, name), func(b *testing.B) {
				for range b.N {
					set, err := parser().Parse(files)
					if err != nil || len(set.Cells()) == 0 {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func reuse(p *Parser) func() *Parser { return func() *Parser { return p } }
