// Package swlabbackend is a stand-in for backend servers, speaking docs/BACKEND-API.md, with faults and records.
package swlabbackend

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// words is the vocabulary of the documents.
var words = []string{
	"levy", "grant", "hall", "bus", "kit", "coach", "food", "rent", "power", "loan",
	"belt", "husk", "crack", "mould", "shell", "stone", "rot", "size", "sack", "lot",
}

// fields are the countable fields with their values.
var fields = map[string][]string{
	"month": {"jan", "feb", "mar", "apr"},
	"state": {"open", "matched", "closed"},
}

const (
	// wordsEach is the number of words in a document.
	wordsEach = 6
	// countPrefix starts a term that asks for counts of a field.
	countPrefix = "count:"
	// scores is the number of different scores, and scoreUnit their divisor.
	scores    = 1_000_000
	scoreUnit = 1000
	// crashPrefix starts a term that crashes the server.
	crashPrefix = "crash:"
	// TagPrefix starts a term that names a request and matches every document.
	TagPrefix = "tag:"
)

// Document is one document as a snapshot holds it.
type Document struct {
	ID     string
	Text   string
	words  []string
	fields map[string]string
	// mark is a hash of the text, from which scores are made.
	mark uint64
}

// Hit is one match.
type Hit struct {
	ID    string
	Score float64
	Text  string
}

// Snapshot is one published version of an index with its documents by shard.
type Snapshot struct {
	Index  string
	ID     string
	Shards [][]Document
}

// Result is what a scan finds.
type Result struct {
	Hits   []Hit
	Counts map[string]int64
}

// hash mixes its parts into a number that depends on nothing else.
func hash(parts ...any) uint64 {
	sum := fnv.New64a()
	fmt.Fprintln(sum, parts...)
	value := sum.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	return value
}

// NewSnapshot makes the documents of a snapshot. They depend on the arguments alone. A part of them differs between
// snapshots of one index, and all texts name their snapshot.
func NewSnapshot(seed uint64, index, id string, shards, documents int) *Snapshot {
	snapshot := &Snapshot{Index: index, ID: id, Shards: make([][]Document, shards)}
	for number := range documents {
		document := newDocument(seed, index, id, number)
		shard := hash(seed, index, document.ID) % uint64(shards)
		snapshot.Shards[shard] = append(snapshot.Shards[shard], document)
	}
	return snapshot
}

func newDocument(seed uint64, index, id string, number int) Document {
	document := Document{ID: fmt.Sprintf("%s-%05d", index, number), fields: make(map[string]string)}
	version := ""
	if number%5 == 0 {
		version = id
	}
	for i := range wordsEach {
		document.words = append(document.words, words[hash(seed, index, number, version, i)%uint64(len(words))])
	}
	for field, values := range fields {
		document.fields[field] = values[hash(seed, index, number, version, field)%uint64(len(values))]
	}
	document.Text = id + " " + strings.Join(document.words, " ")
	document.mark = hash(document.ID, document.Text)
	return document
}

// Documents returns the number of documents of a shard.
func (snapshot *Snapshot) DocumentCount(shard int) int64 {
	return int64(len(snapshot.Shards[shard]))
}

// Total returns the number of documents of all shards.
func (snapshot *Snapshot) TotalDocuments() int64 {
	var total int64
	for shard := range snapshot.Shards {
		total += snapshot.DocumentCount(shard)
	}
	return total
}

// query is a parsed query text.
type query struct {
	terms []string
	count []string
	crash string
	tag   string
}

func parse(text string) query {
	var parsed query
	for _, term := range strings.Fields(text) {
		switch {
		case strings.HasPrefix(term, countPrefix):
			parsed.count = append(parsed.count, strings.TrimPrefix(term, countPrefix))
		case strings.HasPrefix(term, crashPrefix):
			parsed.crash = strings.TrimPrefix(term, crashPrefix)
		case strings.HasPrefix(term, TagPrefix):
			parsed.tag = strings.TrimPrefix(term, TagPrefix)
		default:
			parsed.terms = append(parsed.terms, term)
		}
	}
	return parsed
}

// Tag returns the name that a query text gives its request, if any.
func Tag(text string) string {
	return parse(text).tag
}

// WithoutTag returns a query text without its tag.
func WithoutTag(text string) string {
	kept := slices.DeleteFunc(strings.Fields(text), func(term string) bool { return strings.HasPrefix(term, TagPrefix) })
	return strings.Join(kept, " ")
}

func (document *Document) matches(terms []string) bool {
	for _, term := range terms {
		if !slices.Contains(document.words, term) {
			return false
		}
	}
	return true
}

// ScanShard answers a query over one shard.
func (snapshot *Snapshot) ScanShard(shard int, text string, limit int) Result {
	return scan(snapshot.Shards[shard], text, limit)
}

// Scan answers a query over all shards: the reference for every other way.
func (snapshot *Snapshot) Scan(text string, limit int) Result {
	return scan(slices.Concat(snapshot.Shards...), text, limit)
}

// scan matches every document. Hits come by falling score, then by ID.
func scan(documents []Document, text string, limit int) Result {
	parsed := parse(text)
	result := Result{Hits: []Hit{}, Counts: map[string]int64{}}
	mark := hash(parsed.terms)
	for i := range documents {
		document := &documents[i]
		if !document.matches(parsed.terms) {
			continue
		}
		score := float64((document.mark^mark)%scores) / scoreUnit
		result.Hits = append(result.Hits, Hit{ID: document.ID, Score: score, Text: document.Text})
		for _, field := range parsed.count {
			if value, ok := document.fields[field]; ok {
				result.Counts[field+"="+value]++
			}
		}
	}
	slices.SortFunc(result.Hits, compareHits)
	if limit >= 0 && len(result.Hits) > limit {
		result.Hits = result.Hits[:limit]
	}
	return result
}

func compareHits(a, b Hit) int {
	if order := cmp.Compare(b.Score, a.Score); order != 0 {
		return order
	}
	return cmp.Compare(a.ID, b.ID)
}
