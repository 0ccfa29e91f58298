# A small version of the Ljubljana deployment. Fields of a backend: name, kind of stand-in, service,
# region, labels, slots.
REGIONS=(osrednja stajerska primorska)
BACKENDS=(
  "enc-1 pool encoder osrednja tier=spare 16"
  "enc-2 pool encoder stajerska tier=spare 16"
  "ret-1 pool retriever osrednja tier=spare 16"
  "ret-2 pool retriever primorska tier=spare 16"
  "rer-1 pool reranker osrednja tier=spare 16"
  "rer-2 pool reranker stajerska tier=spare 16"
  "llm-1 engine llm osrednja tier=reserved,cache=large 8"
  "llm-2 engine llm osrednja tier=spare 8"
  "llm-3 engine llm stajerska tier=spare 8"
  "llm-4 engine llm primorska tier=spare 8"
  "ord-1 service orders osrednja tier=spare 8"
  "ord-2 service orders stajerska tier=spare 8"
  "cat-1 service catalogue osrednja tier=spare 8"
)
MODELS=notes-8b
OPERATOR_TOKEN=dev-ljubljana-operator-ana
TEAM=kranj
TEAM_TOKEN=dev-ljubljana-kranj
PIPELINE=jack-specification
QUESTION="Which plectrum suits a jack of pear wood in a Flemish single?"
ORDER_SERVICE=orders
ORDER_PATH=/orders
ORDER_BODY='{"spruce-boards": 2, "ship-to": "Kranj"}'
