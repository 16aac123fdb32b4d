// Package swlabbackend simulates backend servers. A server implements the HTTP API of docs/BACKEND-API.md over generated
// documents, injects faults on request, and records every request that it runs.
package swlabbackend

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
)

// vocabulary holds the words that documents are made of.
var vocabulary = []string{
	"levy", "grant", "hall", "bus", "kit", "coach", "food", "rent", "power", "loan",
	"belt", "husk", "crack", "mould", "shell", "stone", "rot", "size", "sack", "lot",
}

// fieldValues holds the fields that a query can count, with their possible values.
var fieldValues = map[string][]string{
	"month": {"jan", "feb", "mar", "apr"},
	"state": {"open", "matched", "closed"},
}

const (
	// wordsPerDocument is the number of words in a document.
	wordsPerDocument = 6
	// countPrefix starts a query term that requests the counts of a field.
	countPrefix = "count:"
	// maxScores is the number of distinct scores. Scores are multiples of 1/scoreDivisor.
	maxScores    = 1_000_000
	scoreDivisor = 1000
	// crashPrefix starts a query term that crashes the server.
	crashPrefix = "crash:"
	// TagPrefix starts a query term that identifies a request in the records. It restricts no matches.
	TagPrefix = "tag:"
)

// Document is one document of a snapshot.
type Document struct {
	ID     string
	Text   string
	words  []string
	fields map[string]string
	// hash is the hash of the ID and the text. Scores are derived from it.
	hash uint64
}

// Hit is one matching document.
type Hit struct {
	ID    string
	Score float64
	Text  string
}

// Snapshot is one published version of an index, with its documents by shard.
type Snapshot struct {
	Index  string
	ID     string
	Shards [][]Document
}

// Result holds the hits and counts of a scan.
type Result struct {
	Hits   []Hit
	Counts map[string]int64
}

// hash returns a hash of the printed parts. It is the same in every process.
func hash(parts ...any) uint64 {
	sum := fnv.New64a()
	fmt.Fprintln(sum, parts...)
	value := sum.Sum64()
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	return value
}

// NewSnapshot generates the documents of a snapshot. They depend only on the arguments. Every fifth document differs
// between the snapshots of one index, and every text starts with the ID of its snapshot.
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
	for i := range wordsPerDocument {
		document.words = append(document.words, vocabulary[hash(seed, index, number, version, i)%uint64(len(vocabulary))])
	}
	for field, values := range fieldValues {
		document.fields[field] = values[hash(seed, index, number, version, field)%uint64(len(values))]
	}
	document.Text = id + " " + strings.Join(document.words, " ")
	document.hash = hash(document.ID, document.Text)
	return document
}

// DocumentCount returns the number of documents in a shard.
func (snapshot *Snapshot) DocumentCount(shard int) int64 {
	return int64(len(snapshot.Shards[shard]))
}

// TotalDocuments returns the number of documents in all shards.
func (snapshot *Snapshot) TotalDocuments() int64 {
	var total int64
	for shard := range snapshot.Shards {
		total += snapshot.DocumentCount(shard)
	}
	return total
}

// query is a parsed query text.
type query struct {
	terms       []string
	countFields []string
	crashName   string
	tag         string
}

func parse(text string) query {
	var parsed query
	for _, term := range strings.Fields(text) {
		switch {
		case strings.HasPrefix(term, countPrefix):
			parsed.countFields = append(parsed.countFields, strings.TrimPrefix(term, countPrefix))
		case strings.HasPrefix(term, crashPrefix):
			parsed.crashName = strings.TrimPrefix(term, crashPrefix)
		case strings.HasPrefix(term, TagPrefix):
			parsed.tag = strings.TrimPrefix(term, TagPrefix)
		default:
			parsed.terms = append(parsed.terms, term)
		}
	}
	return parsed
}

// Tag returns the tag in a query text, or an empty string.
func Tag(text string) string {
	return parse(text).tag
}

// WithoutTag returns a query text without its tag.
func WithoutTag(text string) string {
	terms := slices.DeleteFunc(strings.Fields(text), func(term string) bool { return strings.HasPrefix(term, TagPrefix) })
	return strings.Join(terms, " ")
}

func (document *Document) matches(terms []string) bool {
	for _, term := range terms {
		if !slices.Contains(document.words, term) {
			return false
		}
	}
	return true
}

// ScanShard runs a query over one shard.
func (snapshot *Snapshot) ScanShard(shard int, text string, limit int) Result {
	return scan(snapshot.Shards[shard], text, limit)
}

// Scan runs a query over all shards. It is the reference that complete answers are compared with.
func (snapshot *Snapshot) Scan(text string, limit int) Result {
	return scan(slices.Concat(snapshot.Shards...), text, limit)
}

// scan compares the query with every document. Hits are in order of descending score, then of ID. A negative limit
// returns all hits.
func scan(documents []Document, text string, limit int) Result {
	parsed := parse(text)
	result := Result{Hits: []Hit{}, Counts: map[string]int64{}}
	queryHash := hash(parsed.terms)
	for i := range documents {
		document := &documents[i]
		if !document.matches(parsed.terms) {
			continue
		}
		score := float64((document.hash^queryHash)%maxScores) / scoreDivisor
		result.Hits = append(result.Hits, Hit{ID: document.ID, Score: score, Text: document.Text})
		for _, field := range parsed.countFields {
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
