package table

// AccountID names a client account.
type AccountID string

// TargetID names a target: an engine or a service replica.
type TargetID string

// HostID names one run of an entry host; a restarted host has a new HostID.
type HostID string

// DataCentre names a data centre.
type DataCentre string

// RequestID names one request from its arrival to its final answer.
type RequestID string

// KindName names a request kind within an account, for example "booking-check".
type KindName string

// Model names a model that engines serve.
type Model string

// ServiceName names a plain service that several replicas may provide.
type ServiceName string

// Generation numbers an accepted configuration; it only grows.
type Generation uint64

// Fence is a fencing number of a lease; it only grows.
type Fence uint64

// Tokens counts prompt or output tokens.
type Tokens int64
