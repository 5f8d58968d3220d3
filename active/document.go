package active

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const digestBytes = 12

type (
	// Document is an applied configuration as the platform keeps it.
	Document struct {
		// Generation grows by one with each accepted configuration.
		Generation uint64 `json:"generation"`
		// OperationID names the apply that wrote it.
		OperationID string `json:"operation"`
		// AppliedAt is when it was accepted, in Unix milliseconds.
		AppliedAt int64 `json:"applied_unix_ms"`
		// Files are the declaration files.
		Files []DocumentFile `json:"files"`
	}

	// DocumentFile is one file of a document.
	DocumentFile struct {
		// Name is the file's name without a folder.
		Name string `json:"name"`
		// Body is the file's text.
		Body string `json:"body"`
	}

	// Current is a configuration in force, parsed. It is immutable.
	Current struct {
		document Document
		set      *specs.Set
		cells    []specs.Cell
		byName   map[string]specs.Cell
		backends map[string][]specs.Cell
		at       time.Time
	}
)

// Operation returns the id of the apply that wrote the document.
func (d Document) Operation() string { return d.OperationID }

// SpecFiles returns the document's files for parsing.
func (d Document) SpecFiles() []specs.File {
	files := make([]specs.File, 0, len(d.Files))
	for _, f := range d.Files {
		files = append(files, specs.NewFile(f.Name, []byte(f.Body)))
	}
	return files
}

// Digest identifies the document's content.
func (d Document) Digest() string {
	sum := sha256.New()
	for _, f := range d.Files {
		_, _ = fmt.Fprintf(sum, "%s\x00%s\x00", f.Name, f.Body)
	}
	return hex.EncodeToString(sum.Sum(nil)[:digestBytes])
}

func fileDigest(f DocumentFile) string {
	return Document{Files: []DocumentFile{f}}.Digest()
}

// newCurrent parses a document.
func newCurrent(document Document) (*Current, error) {
	set, err := specs.Parse(document.SpecFiles())
	if err != nil {
		return nil, fmt.Errorf("parsing generation %d: %w", document.Generation, err)
	}
	c := &Current{
		document: document,
		set:      set,
		cells:    set.Cells(),
		byName:   make(map[string]specs.Cell),
		backends: make(map[string][]specs.Cell),
		at:       time.Now(),
	}
	for _, cell := range c.cells {
		c.byName[cell.Name()] = cell
		c.backends[cell.Backend()] = append(c.backends[cell.Backend()], cell)
	}
	return c, nil
}

// Generation returns the configuration's number.
func (c *Current) Generation() uint64 { return c.document.Generation }

// Document returns what was applied.
func (c *Current) Document() Document { return c.document }

// Set returns the parsed declarations.
func (c *Current) Set() *specs.Set { return c.set }

// Cells returns all cells.
func (c *Current) Cells() []specs.Cell { return c.cells }

// Cell returns the cell of this name.
func (c *Current) Cell(name string) (specs.Cell, bool) {
	cell, ok := c.byName[name]
	return cell, ok
}

// Backend returns the cells of a backend.
func (c *Current) Backend(name string) []specs.Cell { return c.backends[name] }

// Since returns when the configuration came into force at this node.
func (c *Current) Since() time.Time { return c.at }

// encode returns the document for a peer, leaving out bodies that it has.
func encode(d Document, have []string) *wirepb.ConfigBody {
	known := make(map[string]bool, len(have))
	for _, digest := range have {
		known[digest] = true
	}
	body := &wirepb.ConfigBody{
		Generation:    d.Generation,
		Operation:     d.OperationID,
		AppliedUnixMs: d.AppliedAt,
	}
	for _, f := range d.Files {
		file := &wirepb.ConfigFile{Name: f.Name, Digest: fileDigest(f)}
		if !known[file.GetDigest()] {
			file.Body = []byte(f.Body)
		}
		body.Files = append(body.Files, file)
	}
	return body
}

// decode restores a document from a peer's answer and the files at hand.
func decode(body *wirepb.ConfigBody, mine []DocumentFile) (Document, error) {
	byDigest := make(map[string]DocumentFile, len(mine))
	for _, f := range mine {
		byDigest[fileDigest(f)] = f
	}
	d := Document{
		Generation:  body.GetGeneration(),
		OperationID: body.GetOperation(),
		AppliedAt:   body.GetAppliedUnixMs(),
	}
	for _, file := range body.GetFiles() {
		f := DocumentFile{Name: file.GetName(), Body: string(file.GetBody())}
		if known, ok := byDigest[file.GetDigest()]; ok {
			f = known
		}
		if fileDigest(f) != file.GetDigest() {
			return Document{}, fmt.Errorf("file %s of generation %d came incomplete", f.Name, d.Generation)
		}
		d.Files = append(d.Files, f)
	}
	return d, nil
}

func unmarshal(body []byte, document *Document) error {
	if err := json.Unmarshal(body, document); err != nil {
		return fmt.Errorf("decoding the configuration: %w", err)
	}
	return nil
}
