package specs

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gopkg.in/ini.v1"

	"github.com/currantloft/currantloft/finds"
)

const (
	defaultWindow             = 8
	defaultSwitchSharePercent = 25
	defaultOrderLimit         = time.Minute
	defaultTimeout            = 10 * time.Second
	defaultProgressTimeout    = time.Second
	defaultMaxBodyBytes       = 64 << 10
	defaultStepTimeout        = 5 * time.Minute
	defaultMaxAge             = 30 * time.Minute
	defaultMaxTokens          = 1024
	defaultIdleLimit          = time.Hour
	defaultScorerTimeout      = 10 * time.Second
	maxPercent                = 100
	maxGroups                 = 4096
	maxSamples                = 64
	maxStepSamples            = 16384
)

var knownKeys = map[string][]string{
	"pool":     {"model", "serve", "stage", "window", "switch_share", "order_limit"},
	"endpoint": {"pool", "service", "url", "domain", "fencing"},
	"service":  {"pool", "timeout", "progress_timeout", "idempotent", "max_body", "window"},
	"trainer": {
		"pool", "scorer", "groups", "samples", "over_sample", "max_tokens", "step_timeout",
		"accept", "max_versions_behind", "max_age", "weight", "idle_limit",
	},
	"scorer": {"url", "timeout"},
}

type (
	// sectionReader reads typed values of one section and records findings with
	// their position.
	sectionReader struct {
		id       string
		name     string
		ini      *ini.Section
		index    *lineIndex
		findings *finds.List
	}

	// parsedFile holds the declarations and findings of one file.
	parsedFile struct {
		set      *Set
		readers  map[string]*sectionReader
		findings finds.List
	}

	fileKey struct {
		name string
		body string
	}

	// Parser parses sets and reuses the results of files that did not change.
	// It is safe for concurrent use.
	Parser struct {
		mu    sync.Mutex
		cache map[fileKey]*parsedFile
	}
)

// Parse parses and checks a complete set.
func Parse(files []File) (*Set, error) { return NewParser().Parse(files) }

// NewParser returns a parser with an empty cache.
func NewParser() *Parser { return &Parser{cache: make(map[fileKey]*parsedFile)} }

// Parse parses and checks a complete set. Files that are unchanged since the
// last call are not parsed again.
func (p *Parser) Parse(files []File) (*Set, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	set := newSet()
	var list finds.List
	readers := make(map[string]*sectionReader)
	current := make(map[fileKey]*parsedFile, len(files))
	for _, file := range files {
		key := fileKey{name: file.Name(), body: string(file.Body())}
		parsed := p.cache[key]
		if parsed == nil {
			parsed = parseFile(file)
		}
		current[key] = parsed
		set.merge(parsed, readers, &list)
	}
	p.cache = current
	set.checkReferences(readers, &list)
	if err := list.Err(); err != nil {
		return nil, err
	}
	return set, nil
}

func newSet() *Set {
	return &Set{
		pools:     make(map[string]Pool),
		endpoints: make(map[string]Endpoint),
		services:  make(map[string]Service),
		trainers:  make(map[string]Trainer),
		scorers:   make(map[string]Scorer),
		rawValues: make(map[string]map[string]string),
	}
}

// merge adds the declarations of one file. A section that is declared in two
// files is a finding.
func (s *Set) merge(parsed *parsedFile, readers map[string]*sectionReader, list *finds.List) {
	list.AddAll(&parsed.findings)
	for id, reader := range parsed.readers {
		if first, ok := readers[id]; ok {
			list.Add(reader.position(""), "[%s] stands twice, first at %s", id, first.position(""))
			continue
		}
		readers[id] = reader
	}
	maps.Copy(s.pools, parsed.set.pools)
	maps.Copy(s.endpoints, parsed.set.endpoints)
	maps.Copy(s.services, parsed.set.services)
	maps.Copy(s.trainers, parsed.set.trainers)
	maps.Copy(s.scorers, parsed.set.scorers)
	maps.Copy(s.rawValues, parsed.set.rawValues)
}

// parseFile parses one file. It continues after a finding, to report all
// findings of the file.
func parseFile(file File) *parsedFile {
	parsed := &parsedFile{set: newSet(), readers: make(map[string]*sectionReader)}
	index := indexLines(file, &parsed.findings)
	doc, err := ini.LoadSources(ini.LoadOptions{
		SkipUnrecognizableLines: true,
		IgnoreInlineComment:     true,
	}, file.Body())
	if err != nil {
		parsed.findings.Add(finds.Position{File: file.Name()}, "not INI: %v", err)
		return parsed
	}
	for _, section := range doc.Sections() {
		if section.Name() != ini.DefaultSection {
			parsed.parseSection(section, index)
		}
	}
	return parsed
}

func (p *parsedFile) parseSection(source *ini.Section, index *lineIndex) {
	id := strings.Join(strings.Fields(source.Name()), " ")
	kind, name, _ := strings.Cut(id, " ")
	r := &sectionReader{id: source.Name(), name: name, ini: source, index: index, findings: &p.findings}
	keys, ok := knownKeys[kind]
	if !ok {
		r.report("", "unknown section kind %q: want pool, endpoint, service, trainer or scorer", kind)
		return
	}
	if !validName(name) {
		r.report("", "want a name of letters, digits, _ and - after %q", kind)
		return
	}
	p.readers[id] = r
	values := make(map[string]string)
	for _, key := range source.Keys() {
		if !slices.Contains(keys, key.Name()) {
			r.report(key.Name(), "unknown key in [%s]: want one of %s", kind, strings.Join(keys, ", "))
		}
		values[key.Name()] = key.String()
	}
	p.set.rawValues[id] = values
	p.set.build(kind, r)
}

func (s *Set) build(kind string, r *sectionReader) {
	switch kind {
	case "pool":
		s.pools[r.name] = r.pool()
	case "endpoint":
		s.endpoints[r.name] = r.endpoint()
	case "service":
		s.services[r.name] = r.service()
	case "trainer":
		s.trainers[r.name] = r.trainer()
	case "scorer":
		s.scorers[r.name] = Scorer{
			name: r.name, url: r.address("url"), timeout: r.duration("timeout", defaultScorerTimeout),
		}
	}
}

func (r *sectionReader) pool() Pool {
	p := Pool{
		name:          r.name,
		model:         r.text("model", r.name),
		servedVersion: r.version("serve", 0),
		window:        r.number("window", defaultWindow, 1, 4096),
		switchShare:   r.percent("switch_share", defaultSwitchSharePercent),
		orderLimit:    r.duration("order_limit", defaultOrderLimit),
	}
	p.stagedVersion = r.version("stage", p.servedVersion)
	if p.stagedVersion < p.servedVersion {
		r.report("stage", "want the served version %d or a later one, got %d", p.servedVersion, p.stagedVersion)
	}
	return p
}

func (r *sectionReader) endpoint() Endpoint {
	e := Endpoint{
		name:    r.name,
		pool:    r.text("pool", ""),
		service: r.text("service", ""),
		url:     r.address("url"),
		domain:  r.text("domain", ""),
		fencing: Fencing(r.text("fencing", string(FencingChecked))),
	}
	if (e.pool == "") == (e.service == "") {
		r.report("pool", "want either pool or service")
	}
	if e.domain == "" {
		r.report("domain", "want the endpoint's failure domain")
	}
	if e.fencing != FencingChecked && e.fencing != FencingIgnored {
		r.report("fencing", "want checked or ignored, got %q", e.fencing)
	}
	return e
}

func (r *sectionReader) service() Service {
	s := Service{
		name:            r.name,
		pool:            r.text("pool", ""),
		timeout:         r.duration("timeout", defaultTimeout),
		progressTimeout: r.duration("progress_timeout", defaultProgressTimeout),
		idempotent:      r.boolean("idempotent", true),
		maxBody:         r.size("max_body", defaultMaxBodyBytes),
		window:          r.number("window", defaultWindow, 1, 4096),
	}
	if s.progressTimeout > s.timeout {
		r.report("progress_timeout", "want at most the timeout %s, got %s", s.timeout, s.progressTimeout)
	}
	return s
}

func (r *sectionReader) trainer() Trainer {
	t := Trainer{
		name:              r.name,
		pool:              r.text("pool", ""),
		scorer:            r.text("scorer", ""),
		groups:            r.number("groups", 0, 1, maxGroups),
		samples:           r.number("samples", 0, 1, maxSamples),
		overSample:        r.number("over_sample", 0, 0, maxSamples),
		maxTokens:         r.number("max_tokens", defaultMaxTokens, 1, 1<<20),
		stepTimeout:       r.duration("step_timeout", defaultStepTimeout),
		maxVersionsBehind: r.version("max_versions_behind", 0),
		maxAge:            r.duration("max_age", defaultMaxAge),
		weight:            r.number("weight", 1, 1, maxPercent),
		idleLimit:         r.duration("idle_limit", defaultIdleLimit),
	}
	t.acceptFrom, t.acceptTo = r.versionRange("accept")
	if t.groups*t.samples > maxStepSamples {
		r.report("groups", "want at most %d samples a step, got %d", maxStepSamples, t.groups*t.samples)
	}
	return t
}

func (r *sectionReader) report(key, format string, args ...any) {
	r.findings.Add(r.position(key), format, args...)
}

func (r *sectionReader) position(key string) finds.Position { return r.index.position(r.id, key) }

func (r *sectionReader) text(key, fallback string) string {
	if value := r.ini.Key(key).String(); value != "" {
		return value
	}
	return fallback
}

// number reads a whole number from least to most. A fallback below least makes
// the key required.
func (r *sectionReader) number(key string, fallback, least, most int) int {
	text := r.text(key, "")
	if text == "" && fallback >= least {
		return fallback
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < least || value > most {
		r.report(key, "want a whole number from %d to %d, got %q", least, most, text)
		return least
	}
	return value
}

func (r *sectionReader) version(key string, fallback uint64) uint64 {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.report(key, "want a whole number, got %q", text)
	}
	return value
}

// versionRange reads "7", "5-9", "5-" or "any".
func (r *sectionReader) versionRange(key string) (from, to uint64) {
	const maxVersion = ^uint64(0)
	text := r.text(key, "any")
	if text == "any" {
		return 0, maxVersion
	}
	low, high, ranged := strings.Cut(text, "-")
	from, err := strconv.ParseUint(strings.TrimSpace(low), 10, 64)
	to = from
	if ranged && strings.TrimSpace(high) == "" {
		to = maxVersion
	} else if ranged && err == nil {
		to, err = strconv.ParseUint(strings.TrimSpace(high), 10, 64)
	}
	if err != nil || to < from {
		r.report(key, "want any, a version such as 7 or a range such as 5-9 or 5-, got %q", text)
		return 0, 0
	}
	return from, to
}

func (r *sectionReader) percent(key string, fallback int) int {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := strconv.Atoi(strings.TrimSuffix(text, "%"))
	if err != nil || !strings.HasSuffix(text, "%") || value < 1 || value > maxPercent {
		r.report(key, "want a share such as 25%%, got %q", text)
		return fallback
	}
	return value
}

func (r *sectionReader) duration(key string, fallback time.Duration) time.Duration {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		r.report(key, "want a duration such as 500ms, 10s or 5m, got %q", text)
		return fallback
	}
	return value
}

func (r *sectionReader) boolean(key string, fallback bool) bool {
	switch text := r.text(key, ""); text {
	case "":
		return fallback
	case "true", "false":
		return text == "true"
	default:
		r.report(key, "want true or false, got %q", text)
		return fallback
	}
}

// size reads a number of bytes such as 65536, 64KiB or 1MiB.
func (r *sectionReader) size(key string, fallback int) int {
	text := r.text(key, "")
	if text == "" {
		return fallback
	}
	units := map[string]int{"KiB": 1 << 10, "MiB": 1 << 20}
	digits, unit := text, 1
	for suffix, bytes := range units {
		if strings.HasSuffix(text, suffix) {
			digits, unit = strings.TrimSuffix(text, suffix), bytes
		}
	}
	value, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || value < 1 || value > 1<<20 {
		r.report(key, "want bytes, such as 4096, 64KiB or 1MiB, got %q", text)
		return fallback
	}
	return value * unit
}

func (r *sectionReader) address(key string) string {
	text := r.text(key, "")
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		r.report(key, "want an address such as http://127.0.0.1:9001, got %q", text)
	}
	return strings.TrimSuffix(text, "/")
}

func validName(name string) bool {
	if name == "" {
		return false
	}
	for _, c := range name {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !letter && (c < '0' || c > '9') && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
