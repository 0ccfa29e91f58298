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

// FencingMode states how the engine treats the fencing number of an order.
type FencingMode string

// The fencing modes.
const (
	// FencingChecked refuses an order whose fencing number is below the highest one received.
	FencingChecked FencingMode = "checks"
	// FencingIgnored executes every order.
	FencingIgnored FencingMode = "ignores"
)

// OrderKind is the kind of change that an order requests.
type OrderKind string

// The kinds of orders.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderSetRole       OrderKind = "set-role"
)

// Order instructs the engine to change the models, adapters or role that it serves.
type Order struct {
	Kind          OrderKind `json:"order"`
	Model         string    `json:"model,omitempty"`
	Adapter       string    `json:"adapter,omitempty"`
	Version       string    `json:"version,omitempty"`
	Role          string    `json:"role,omitempty"`
	FencingNumber uint64    `json:"fencing"`
}

// OrderRecord is an order that the engine received, refused ones included.
type OrderRecord struct {
	Order
	Received time.Time `json:"received"`
	// Applied is false for an order that was refused or has not been executed yet.
	Applied bool `json:"applied"`
}

// ServedModel is a model or adapter that requests may name.
type ServedModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version,omitempty"`
	// Parent is the base model of an adapter.
	Parent string `json:"parent,omitempty"`
}

// ModelList is the answer of GET /v1/models.
type ModelList struct {
	Object string        `json:"object"`
	Role   string        `json:"role,omitempty"`
	Data   []ServedModel `json:"data"`
}

// catalog holds the models, adapters and role that the engine serves, and the orders received.
type catalog struct {
	fencing FencingMode
	// orderTime is how long an order takes.
	orderTime time.Duration

	mutex  sync.Mutex
	served map[string]ServedModel
	role   string
	// highestFencing is the highest fencing number received.
	highestFencing uint64
	records        []OrderRecord
}

func newCatalog(options Options) *catalog {
	c := &catalog{fencing: options.Fencing, orderTime: options.OrderTime, served: map[string]ServedModel{}}
	for _, model := range options.Models {
		c.served[model] = ServedModel{ID: model, Object: "model", Version: "1"}
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
	list := ModelList{Object: "list", Role: c.role, Data: []ServedModel{}}
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
	index, accepted := c.receive(order)
	if !accepted {
		http.Error(w, "the fencing number is below the highest seen", http.StatusConflict)
		return
	}
	// An accepted order is executed even if its sender disconnects.
	slots.Sleep(context.WithoutCancel(r.Context()), c.orderTime)
	if !c.apply(index) {
		http.Error(w, "no such order", http.StatusBadRequest)
		return
	}
	serve.WriteJSON(w, true)
}

// receive records the order and checks its fencing number. It returns the index of the record and
// whether the order is accepted.
func (c *catalog) receive(order Order) (index int, accepted bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.records = append(c.records, OrderRecord{Order: order, Received: time.Now()})
	if c.fencing == FencingChecked && order.FencingNumber < c.highestFencing {
		return 0, false
	}
	c.highestFencing = max(c.highestFencing, order.FencingNumber)
	return len(c.records) - 1, true
}

// apply executes the order of a record; it returns false if the order's kind is unknown.
func (c *catalog) apply(index int) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	record := &c.records[index]
	switch record.Kind {
	case OrderLoadModel:
		c.served[record.Model] = ServedModel{ID: record.Model, Object: "model", Version: record.Version}
	case OrderUnloadModel:
		delete(c.served, record.Model)
	case OrderLoadAdapter:
		c.served[record.Adapter] = ServedModel{ID: record.Adapter, Object: "model", Version: record.Version, Parent: record.Model}
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
