# A small version of the Le Goff deployment. Fields of a backend: name, kind of stand-in, service,
# region, labels, slots.
REGIONS=(bretagne pays-loire normandie)
BACKENDS=(
  "enc-1 pool encoder bretagne tier=committed 16"
  "enc-2 pool encoder pays-loire tier=committed 16"
  "ret-1 pool retriever bretagne tier=committed 16"
  "ret-2 pool retriever normandie tier=committed 16"
  "rer-1 pool reranker bretagne tier=committed 16"
  "rer-2 pool reranker pays-loire tier=committed 16"
  "llm-1 engine llm bretagne tier=committed,cache=large 8"
  "llm-2 engine llm bretagne tier=committed 8"
  "llm-3 engine llm pays-loire tier=committed 8"
  "llm-4 engine llm normandie tier=trial 8"
  "ord-1 service order-desk bretagne tier=committed 8"
  "ord-2 service order-desk pays-loire tier=committed 8"
)
MODELS=drawings-8b
OPERATOR_TOKEN=dev-le-goff-operator-maelle
TEAM=counter
TEAM_TOKEN=dev-le-goff-counter
PIPELINE=counter-answer
QUESTION="Which rule height fits a B-flute carton with a 0.7 mm crease?"
ORDER_SERVICE=order-desk
ORDER_PATH=/confirmations
ORDER_BODY='{"forme": "label-42", "confirm": true}'
