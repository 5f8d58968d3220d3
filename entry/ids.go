package entry

import (
	"fmt"
	"sync/atomic"
	"time"
)

// idSource generates request ids that are unique among all nodes.
type idSource struct {
	prefix  string
	counter atomic.Uint64
}

func newIDSource(node string) *idSource {
	return &idSource{prefix: fmt.Sprintf("%s-%x", node, time.Now().UnixNano())}
}

func (s *idSource) next() string { return fmt.Sprintf("%s-%d", s.prefix, s.counter.Add(1)) }
