package engine

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/modules/slots"
)

// Fencing says what the engine does with an order's fencing number.
type Fencing string

// The ways to treat fencing numbers.
const (
	// FencingChecks refuses an order whose number is below the highest seen.
	FencingChecks Fencing = "checks"
	// FencingIgnores carries out every order.
	FencingIgnores Fencing = "ignores"
)

// OrderKind says what an order changes.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderSetRole       OrderKind = "set-role"
)

// Order tells the engine to change what it serves.
type Order struct {
	Kind    OrderKind `json:"order"`
	Model   string    `json:"model,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	Fencing uint64    `json:"fencing"`
}

// OrderRecord is an order as it was received.
type OrderRecord struct {
	Order
	Received time.Time `json:"received"`
	// Applied is false for an order that was refused or is still being carried out.
	Applied bool `json:"applied"`
}

// Served is one model or adapter that requests may name.
type Served struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version,omitempty"`
	// Parent is the model of an adapter.
	Parent string `json:"parent,omitempty"`
}

// ServedList is the answer of GET /v1/models.
type ServedList struct {
	Object string   `json:"object"`
	Role   string   `json:"role,omitempty"`
	Data   []Served `json:"data"`
}

// catalog is what the engine serves and the orders that made it so.
type catalog struct {
	fencing Fencing
	// duration is how long an order takes.
	duration time.Duration

	mutex   sync.Mutex
	served  map[string]Served
	role    string
	highest uint64
	records []OrderRecord
}

func newCatalog(options Options) *catalog {
	c := &catalog{fencing: options.Fencing, duration: options.OrderTime, served: map[string]Served{}}
	for _, model := range options.Models {
		c.served[model] = Served{ID: model, Object: "model", Version: "1"}
	}
	return c
}

func (c *catalog) serves(model string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, found := c.served[model]
	return found
}

func (c *catalog) getModels(w http.ResponseWriter, _ *http.Request) {
	c.mutex.Lock()
	list := ServedList{Object: "list", Role: c.role, Data: []Served{}}
	for _, s := range c.served {
		list.Data = append(list.Data, s)
	}
	c.mutex.Unlock()
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	serve.WriteJSON(w, list)
}

func (c *catalog) getOrders(w http.ResponseWriter, _ *http.Request) {
	c.mutex.Lock()
	records := append([]OrderRecord{}, c.records...)
	c.mutex.Unlock()
	serve.WriteJSON(w, records)
}

func (c *catalog) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !serve.ReadJSON(w, r, &order) {
		return
	}
	number, accepted := c.receive(order)
	if !accepted {
		http.Error(w, "the fencing number is below the highest seen", http.StatusConflict)
		return
	}
	// An order once accepted is carried out although its sender goes away.
	slots.Sleep(context.WithoutCancel(r.Context()), c.duration)
	if !c.apply(number) {
		http.Error(w, "no such order", http.StatusBadRequest)
		return
	}
	serve.WriteJSON(w, true)
}

func (c *catalog) receive(order Order) (number int, accepted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, OrderRecord{Order: order, Received: time.Now()})
	if c.fencing == FencingChecks && order.Fencing < c.highest {
		return 0, false
	}
	c.highest = max(c.highest, order.Fencing)
	return len(c.records) - 1, true
}

func (c *catalog) apply(number int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record := &c.records[number]
	switch record.Kind {
	case OrderLoadModel:
		c.served[record.Model] = Served{ID: record.Model, Object: "model", Version: record.Version}
	case OrderUnloadModel:
		delete(c.served, record.Model)
	case OrderLoadAdapter:
		c.served[record.Adapter] = Served{ID: record.Adapter, Object: "model", Version: record.Version, Parent: record.Model}
	case OrderUnloadAdapter:
		delete(c.served, record.Adapter)
	case OrderSetRole:
		c.role = record.Role
	default:
		return false
	}
	record.Applied = true
	return true
}
