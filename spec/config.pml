/*
 * Configuration head: two writers with change ids update it by compare-and-swap. An entry and an
 * agent receive it from the key-value service and from each other, by reads and heartbeats that
 * may stay in buffers for any time. Either may restart or be frozen (it is not scheduled while
 * the clock advances).
 *
 * Properties: a change reported as accepted is in the history permanently, one reported as
 * refused never is, and none is in it twice. A process never reverts to an earlier revision.
 * Nothing is decided or run under a revision that was superseded more than MAX_AGE ticks ago. An
 * agent runs nothing that was decided under a revision older than its own.
 */
#define MAX_AGE 2

/*
 * Two parts are checked separately, since they share only head: the writers (-DWRITERS), and the
 * propagation of the head, where head may advance at any time.
 */
#define NONE 255
#define ENTRY 0
#define AGENT 1

#ifndef RESTARTS
#define RESTARTS 1
#endif

byte head;
byte author[3];  /* of each revision, as writer + 1 */
byte headAge[3]; /* ticks since the revision became head, at most MAX_AGE + 1 */
byte lateBase[2] = NONE;
bool accepted[2];
bool refused[2];

byte revision[2];
byte age[2] = MAX_AGE; /* ticks since head was known to be no higher; MAX_AGE: expired */

bool heartbeatSent[2]; /* one heartbeat from each, in transit */
byte heartbeatRevision[2];
byte heartbeatAge[2];

bool readSent[2];
byte readRevision[2];
byte readAge[2];

bool called;
byte calledRevision;

#define IN_HISTORY(w) (author[1] == (w) + 1 || author[2] == (w) + 1)

inline advanceHead(w) {
	assert(!refused[w]);
	assert(!IN_HISTORY(w));
	head++;
	author[head] = w + 1;
	headAge[head] = 0
}

proctype Writer(byte w) {
	byte base, tries;

	base = head;
Try:
	atomic {
		tries++;
		if
		:: head == base -> advanceHead(w); accepted[w] = true; goto Done
		:: head == base -> advanceHead(w)
		:: head != base
		:: lateBase[w] == NONE -> lateBase[w] = base
		fi
	};
#ifdef MUTANT_BLIND_RETRY
	atomic {
		if
		:: tries < 2 -> base = head; goto Try
		:: else
		fi
	};
#endif
	/* no answer, or another writer's change came first: read the head and walk back to base */
	atomic {
		if
#ifndef MUTANT_NO_WALK
		:: IN_HISTORY(w) -> accepted[w] = true
		:: !IN_HISTORY(w) && head != base -> refused[w] = true
#else
		:: head != base -> refused[w] = true
#endif
#ifdef MUTANT_UNMOVED_IS_REFUSED
		:: head == base -> refused[w] = true
#else
		:: head == base && tries < 2 -> goto Try /* retry with the same change id */
		:: head == base /* reported as unknown */
#endif
		fi;
		assert(!refused[w] || !IN_HISTORY(w))
	};
Done:
	skip
}

/* a late write takes effect, or fails because the head has advanced */
active proctype Late() {
end:
	do
	:: atomic { lateBase[0] != NONE ->
		if
		:: lateBase[0] == head -> advanceHead(0)
		:: else
		fi;
		lateBase[0] = NONE }
	:: atomic { lateBase[1] != NONE ->
		if
		:: lateBase[1] == head -> advanceHead(1)
		:: else
		fi;
		lateBase[1] = NONE }
	od
}

inline addTick(x, most) {
	if
	:: x < most -> x++
	:: else
	fi
}

active proctype Clock() {
end:
	do
#ifndef WRITERS
	:: d_step {
		addTick(age[0], MAX_AGE);
		addTick(age[1], MAX_AGE);
#ifndef MUTANT_AGE_FROM_ARRIVAL
		if
		:: heartbeatSent[0] -> addTick(heartbeatAge[0], MAX_AGE)
		:: else
		fi;
		if
		:: heartbeatSent[1] -> addTick(heartbeatAge[1], MAX_AGE)
		:: else
		fi;
		if
		:: readSent[0] -> addTick(readAge[0], MAX_AGE)
		:: else
		fi;
		if
		:: readSent[1] -> addTick(readAge[1], MAX_AGE)
		:: else
		fi;
#endif
		if
		:: head >= 1 -> addTick(headAge[1], MAX_AGE + 1)
		:: else
		fi;
		if
		:: head >= 2 -> addTick(headAge[2], MAX_AGE + 1)
		:: else
		fi
	   }
#else
	:: false
#endif
	od
}

/* update merges revision r, and the time a since head was known to be no higher than r */
inline update(p, r, a) {
#ifdef MUTANT_ANY_REVISION
	if
	:: r < revision[p] -> assert(false) /* reverted */
	:: else
	fi;
	revision[p] = r;
#else
	if
	:: r > revision[p] -> revision[p] = r
	:: else
	fi;
#endif
	if
	:: a < age[p] -> age[p] = a
	:: else
	fi
}

/* whether r may be decided under: no later revision has been in force for more than MAX_AGE ticks */
#define CURRENT(r) (((r) >= 1 || headAge[1] <= MAX_AGE) && ((r) >= 2 || headAge[2] <= MAX_AGE))

#ifdef MUTANT_ENTRY_NO_EXPIRY
#define ENTRY_FRESH true
#else
#define ENTRY_FRESH (age[ENTRY] < MAX_AGE)
#endif

#ifdef MUTANT_AGENT_NO_EXPIRY
#define AGENT_FRESH true
#else
#define AGENT_FRESH (age[AGENT] < MAX_AGE)
#endif

#ifdef MUTANT_NO_CALL_REVISION
#define ACCEPTS (true)
#else
#define ACCEPTS (calledRevision >= revision[AGENT])
#endif

inline call() {
	called = true;
	calledRevision = revision[ENTRY];
	assert(CURRENT(calledRevision))
}

inline accept() {
	if
	:: ACCEPTS ->
		assert(calledRevision >= revision[AGENT]);
		update(AGENT, calledRevision, MAX_AGE); /* the agent fetches it from the caller */
		if
		:: AGENT_FRESH -> assert(CURRENT(calledRevision))
		:: else /* not run: the agent must first confirm its revision */
		fi
	:: else /* not run: the agent has a newer revision */
	fi;
	called = false;
	calledRevision = 0
}

byte restarts;

proctype Process(byte p; byte q) {
end:
	do
	:: atomic { !heartbeatSent[p] -> heartbeatSent[p] = true; heartbeatRevision[p] = revision[p]; heartbeatAge[p] = age[p] }
	:: atomic { heartbeatSent[q] -> update(p, heartbeatRevision[q], heartbeatAge[q]);
		heartbeatSent[q] = false; heartbeatRevision[q] = 0; heartbeatAge[q] = 0 }
	:: atomic { !readSent[p] -> readSent[p] = true; readRevision[p] = head; readAge[p] = 0 }
	:: atomic { readSent[p] -> update(p, readRevision[p], readAge[p]);
		readSent[p] = false; readRevision[p] = 0; readAge[p] = 0 }
	:: atomic { restarts < RESTARTS -> restarts++; revision[p] = 0; age[p] = MAX_AGE;
		readSent[p] = false; readRevision[p] = 0; readAge[p] = 0 }
	:: atomic { p == ENTRY && !called && ENTRY_FRESH -> call() }
	:: atomic { p == AGENT && called -> accept() }
	od
}

/* AnyWriters stands for any number of writers: it advances head twice, at any time */
proctype AnyWriters() {
	atomic { advanceHead(0) };
	atomic { advanceHead(1) }
}

init {
	atomic {
#ifdef WRITERS
		run Writer(0);
		run Writer(1)
#else
		run AnyWriters();
		run Process(ENTRY, AGENT);
		run Process(AGENT, ENTRY)
#endif
	}
}
