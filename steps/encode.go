package steps

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/currantloft/currantloft/object"
)

const (
	maxUnpackedBytes = 1 << 30
	readBufferBytes  = 64 << 10
)

// encodeGroups encodes each group as a JSON line, compresses the lines with gzip
// and splits the result into chunks of at most object.MaxValue bytes. It returns
// the chunks and the digest of the lines.
func encodeGroups(groups []Group) ([][]byte, string, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, "", fmt.Errorf("packing samples: %w", err)
	}
	sum := sha256.New()
	encoder := json.NewEncoder(io.MultiWriter(writer, sum))
	for _, g := range groups {
		if err := encoder.Encode(g); err != nil {
			return nil, "", fmt.Errorf("packing group %s: %w", g.Group, err)
		}
	}
	if err := writer.Close(); err != nil {
		return nil, "", fmt.Errorf("packing samples: %w", err)
	}
	chunks := slices.Collect(slices.Chunk(packed.Bytes(), object.MaxValue))
	return chunks, digestOf(sum.Sum(nil)), nil
}

// decodeGroups decodes the concatenated chunks and returns the groups and the
// digest of the lines.
func decodeGroups(packed []byte) ([]Group, string, error) {
	unpacked, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, "", fmt.Errorf("unpacking samples: %w", err)
	}
	sum := sha256.New()
	lines := bufio.NewReaderSize(io.LimitReader(unpacked, maxUnpackedBytes), readBufferBytes)
	var groups []Group
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return groups, digestOf(sum.Sum(nil)), nil
		}
		if err != nil {
			return nil, "", fmt.Errorf("unpacking samples: %w", err)
		}
		sum.Write(line)
		var g Group
		if err := json.Unmarshal(line, &g); err != nil {
			return nil, "", fmt.Errorf("decoding samples: %w", err)
		}
		groups = append(groups, g)
	}
}

func digestOf(sum []byte) string { return hex.EncodeToString(sum[:digestBytes]) }
