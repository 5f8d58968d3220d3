package active

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/currantloft/currantloft/specs"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	digestBytes          = 12
	maxDecompressedBytes = 16 << 20
)

type (
	// Document is an applied configuration.
	Document struct {
		// Generation increases by one with each accepted configuration.
		Generation uint64 `json:"generation"`
		// OperationID identifies the apply that wrote it.
		OperationID string `json:"operation"`
		// AppliedUnixMs is when it was accepted, in Unix milliseconds.
		AppliedUnixMs int64 `json:"applied_unix_ms"`
		// Files are the declaration files.
		Files []DocumentFile `json:"files"`
	}

	// DocumentFile is one file of a document.
	DocumentFile struct {
		// Name is the file name without its directory.
		Name string `json:"name"`
		// Body is the file's text.
		Body string `json:"body"`
	}

	// compressedDocument is the stored form of a document, with compressed files.
	compressedDocument struct {
		Generation    uint64           `json:"generation"`
		OperationID   string           `json:"operation"`
		AppliedUnixMs int64            `json:"applied_unix_ms"`
		Files         []compressedFile `json:"files"`
	}

	compressedFile struct {
		Name string `json:"name"`
		Gzip []byte `json:"gzip"`
	}

	// storedDocument is a document that marshals to and from its stored form.
	storedDocument struct{ Document }

	// Current is a configuration in force, parsed. It is immutable.
	Current struct {
		document Document
		set      *specs.Set
		cells    []specs.Cell
		byName   map[string]specs.Cell
		backends map[string][]specs.Cell
		since    time.Time
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

// Digest returns a hash of the document's files.
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
func newCurrent(document Document, parser *specs.Parser) (*Current, error) {
	set, err := parser.Parse(document.SpecFiles())
	if err != nil {
		return nil, fmt.Errorf("parsing generation %d: %w", document.Generation, err)
	}
	c := &Current{
		document: document,
		set:      set,
		cells:    set.Cells(),
		byName:   make(map[string]specs.Cell),
		backends: make(map[string][]specs.Cell),
		since:    time.Now(),
	}
	for _, cell := range c.cells {
		c.byName[cell.Name()] = cell
		c.backends[cell.Backend()] = append(c.backends[cell.Backend()], cell)
	}
	return c, nil
}

// Generation returns the configuration's generation.
func (c *Current) Generation() uint64 { return c.document.Generation }

// Document returns the applied document.
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
func (c *Current) Since() time.Time { return c.since }

// MarshalJSON compresses the files, since each change sends the complete value to
// all watchers.
func (s storedDocument) MarshalJSON() ([]byte, error) {
	compressed := compressedDocument{Generation: s.Generation, OperationID: s.OperationID, AppliedUnixMs: s.AppliedUnixMs}
	for _, f := range s.Files {
		body, err := compress(f.Body)
		if err != nil {
			return nil, err
		}
		compressed.Files = append(compressed.Files, compressedFile{Name: f.Name, Gzip: body})
	}
	return json.Marshal(compressed)
}

// UnmarshalJSON decompresses the files.
func (s *storedDocument) UnmarshalJSON(data []byte) error {
	var compressed compressedDocument
	if err := json.Unmarshal(data, &compressed); err != nil {
		return err
	}
	s.Document = Document{Generation: compressed.Generation, OperationID: compressed.OperationID, AppliedUnixMs: compressed.AppliedUnixMs}
	for _, f := range compressed.Files {
		body, err := decompress(f.Gzip)
		if err != nil {
			return err
		}
		s.Files = append(s.Files, DocumentFile{Name: f.Name, Body: body})
	}
	return nil
}

func compress(text string) ([]byte, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write([]byte(text)); err != nil {
		return nil, fmt.Errorf("packing a file: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("packing a file: %w", err)
	}
	return compressed.Bytes(), nil
}

func decompress(compressed []byte) (string, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return "", fmt.Errorf("unpacking a file: %w", err)
	}
	text, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes))
	if err != nil {
		return "", fmt.Errorf("unpacking a file: %w", err)
	}
	return string(text), nil
}

// encode returns the document for a peer, without the bodies of the files whose
// digests are in have.
func encode(d Document, have []string) (*wirepb.ConfigBody, error) {
	known := make(map[string]bool, len(have))
	for _, digest := range have {
		known[digest] = true
	}
	body := &wirepb.ConfigBody{
		Generation:    d.Generation,
		Operation:     d.OperationID,
		AppliedUnixMs: d.AppliedUnixMs,
	}
	for _, f := range d.Files {
		file := &wirepb.ConfigFile{Name: f.Name, Digest: fileDigest(f)}
		if !known[file.GetDigest()] {
			compressed, err := compress(f.Body)
			if err != nil {
				return nil, err
			}
			file.Body = compressed
		}
		body.Files = append(body.Files, file)
	}
	return body, nil
}

// decode restores a document from a peer's response. Files without a body are
// taken from localFiles.
func decode(body *wirepb.ConfigBody, localFiles []DocumentFile) (Document, error) {
	byDigest := make(map[string]DocumentFile, len(localFiles))
	for _, f := range localFiles {
		byDigest[fileDigest(f)] = f
	}
	d := Document{
		Generation:    body.GetGeneration(),
		OperationID:   body.GetOperation(),
		AppliedUnixMs: body.GetAppliedUnixMs(),
	}
	for _, file := range body.GetFiles() {
		f, known := byDigest[file.GetDigest()]
		if !known {
			text, err := decompress(file.GetBody())
			if err != nil {
				return Document{}, err
			}
			f = DocumentFile{Name: file.GetName(), Body: text}
		}
		if fileDigest(f) != file.GetDigest() {
			return Document{}, fmt.Errorf("file %s of generation %d does not match its digest", f.Name, d.Generation)
		}
		d.Files = append(d.Files, f)
	}
	return d, nil
}
