// Package pool is a stand-in for a backend server of a pool of encoders, retrievers or rerankers.
// Answers depend on the request only, so a caller can check them.
package pool

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/modules/slots"
)

const (
	dimensions   = 8
	defaultLimit = 10
)

// Options holds the settings of a Pool.
type Options struct {
	// Time is how long each call takes.
	Time time.Duration
	// Slots is the maximum number of calls that run at once; further calls wait.
	Slots int
}

// Pool answers embeddings, search and rerank calls.
type Pool struct {
	options Options
	slots   *slots.Slots
	ledger  *ledger.Ledger
}

// NewPool returns a Pool that records its runs in runLedger.
func NewPool(options Options, runLedger *ledger.Ledger) *Pool {
	return &Pool{options: options, slots: slots.NewSlots(options.Slots), ledger: runLedger}
}

// KindOf returns the kind under which a call is counted: its path.
func KindOf(r *http.Request) string {
	return r.URL.Path
}

// NewRouter returns the HTTP handler of the pool.
func (p *Pool) NewRouter() http.Handler {
	mux := http.NewServeMux()
	p.ledger.Mount(mux)
	mux.HandleFunc("POST /v1/embeddings", p.postEmbeddings)
	mux.HandleFunc("POST /v1/search", p.postSearch)
	mux.HandleFunc("POST /v1/rerank", p.postRerank)
	return mux
}

// work decodes the call's body into v, waits for a slot and spends the service time. It returns
// false if the body cannot be read or decoded, after answering with status 400, or if the caller
// disconnected.
func (p *Pool) work(w http.ResponseWriter, r *http.Request, v any) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if err := json.Unmarshal(body, v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if !p.slots.Acquire(r.Context()) {
		return false
	}
	defer p.slots.Release()
	run := p.ledger.Start(r, body)
	if !slots.Sleep(r.Context(), p.options.Time) {
		return false
	}
	p.ledger.Finish(run.Run)
	return true
}

// Texts is the input of an embeddings call, which is either one text or a list of texts.
type Texts []string

// UnmarshalJSON decodes a string or a list of strings.
func (t *Texts) UnmarshalJSON(data []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte(`"`)) {
		var one string
		err := json.Unmarshal(data, &one)
		*t = Texts{one}
		return err
	}
	var many []string
	err := json.Unmarshal(data, &many)
	*t = many
	return err
}

type embeddingsBody struct {
	Model string `json:"model"`
	Input Texts  `json:"input"`
}

type embedding struct {
	Object    string    `json:"object"`
	Index     int       `json:"index"`
	Embedding []float64 `json:"embedding"`
}

type embeddingsAnswer struct {
	Object string      `json:"object"`
	Model  string      `json:"model"`
	Data   []embedding `json:"data"`
}

func (p *Pool) postEmbeddings(w http.ResponseWriter, r *http.Request) {
	var body embeddingsBody
	if !p.work(w, r, &body) {
		return
	}
	answer := embeddingsAnswer{Object: "list", Model: body.Model, Data: []embedding{}}
	for i, text := range body.Input {
		answer.Data = append(answer.Data, embedding{Object: "embedding", Index: i, Embedding: Embed(text)})
	}
	serve.WriteJSON(w, answer)
}

// Embed returns the embedding of a text.
func Embed(text string) []float64 {
	vector := make([]float64, dimensions)
	for i := range vector {
		vector[i] = 2*score(text+strconv.Itoa(i)) - 1
	}
	return vector
}

// score maps a text to a number in [0, 1). The number has 24 bits, so that it is unchanged by
// encoding to JSON and back.
func score(text string) float64 {
	return float64(xxhash.Sum64String(text)>>40) / float64(1<<24)
}

type searchBody struct {
	Vector []float64 `json:"vector"`
	Limit  int       `json:"limit"`
}

// Document is a search result.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

type searchAnswer struct {
	Documents []Document `json:"documents"`
}

func (p *Pool) postSearch(w http.ResponseWriter, r *http.Request) {
	var body searchBody
	if !p.work(w, r, &body) {
		return
	}
	serve.WriteJSON(w, searchAnswer{Documents: Search(body.Vector, body.Limit)})
}

// Search returns limit documents for a vector; a limit of 0 or below means ten.
func Search(vector []float64, limit int) []Document {
	if limit <= 0 {
		limit = defaultLimit
	}
	digest := xxhash.New()
	for _, x := range vector {
		_, _ = digest.WriteString(strconv.FormatUint(math.Float64bits(x), 16))
	}
	base := digest.Sum64()
	documents := make([]Document, 0, limit)
	for i := range limit {
		id := strconv.FormatUint(base+uint64(i), 16)
		documents = append(documents, Document{ID: id, Text: "document " + id})
	}
	return documents
}

type rerankBody struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"`
}

// Ranked is the rerank result of one document.
type Ranked struct {
	// Index is the document's index in the request.
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

type rerankAnswer struct {
	Model   string   `json:"model"`
	Results []Ranked `json:"results"`
}

func (p *Pool) postRerank(w http.ResponseWriter, r *http.Request) {
	var body rerankBody
	if !p.work(w, r, &body) {
		return
	}
	serve.WriteJSON(w, rerankAnswer{Model: body.Model, Results: Rerank(body.Query, body.Documents, body.TopN)})
}

// Rerank returns at most limit documents by descending relevance; a limit of 0 or below means all.
func Rerank(query string, documents []string, limit int) []Ranked {
	results := make([]Ranked, 0, len(documents))
	for i, document := range documents {
		results = append(results, Ranked{Index: i, Score: score(query + "\x00" + document)})
	}
	sort.SliceStable(results, func(i, j int) bool { return results[i].Score > results[j].Score })
	if limit > 0 && limit < len(results) {
		results = results[:limit]
	}
	return results
}
