package plots

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFigure(t *testing.T) {
	f := New("line", "nodes", "KB")
	for _, x := range []float64{1, 2, 4} {
		f.Add("idle", x, 3+2*x)
	}
	f.Add("idle", 0, 100)
	if got := f.Fits(1, 10); !strings.Contains(got, "KB, idle: 3 + 2 * nodes; at 10: 23") {
		t.Error(got)
	}
	dir := t.TempDir()
	if err := f.Write(dir); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"line.tsv", "line.svg"} {
		if data, err := os.ReadFile(filepath.Join(dir, name)); err != nil || len(data) == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
