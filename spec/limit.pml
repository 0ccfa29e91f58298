/*
 * The rate that a server states: two ingresses learn of it and withdraw it (the default), and count
 * the requests to the server (-DCOUNTING). Time advances in rounds.
 *
 * Mirrors quota.Table and quota.Limiter. In the first part the server states its limit or withdraws
 * it (CHANGES times), each ingress may receive an answer that says which, heartbeats carry what an
 * ingress knows to the other one, and an ingress may be cut off or reached again (FAULTS times).
 *
 * In the second part each round adds one token to the bucket of the ingress that places, which may
 * be replaced once: for one round both place. Placed requests wait for their stages and are sent in any
 * later round, any number of them together.
 *
 * Properties: once heartbeats have passed since the last change and the last fault, an answer to one of
 * the ingresses lets both know what the server states, two rounds later at most. In any WINDOW rounds the
 * server receives at most BOUND requests, one and a half times its rate and five.
 */
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef FAULTS
#define FAULTS 2
#endif

#ifndef COUNTING

#define NONE 3

bool isLimited = false;     /* what the server states */
bool settled = false;       /* heartbeats have passed since it or the connection changed */
byte sinceAnswer = NONE;    /* rounds since the first answer after that; NONE: there was none */
byte changes = 0;
byte faults = 0;
bool known[2];
byte version[2];
bool cutOff = false;        /* no heartbeats pass between the ingresses */

inline change() {
	if
	:: changes < CHANGES -> changes++; isLimited = !isLimited; settled = false; sinceAnswer = NONE
	:: true
	fi
}

inline injectFault() {
	if
	:: faults < FAULTS -> faults++; cutOff = !cutOff; settled = false; sinceAnswer = NONE
	:: true
	fi
}

inline answer(i) {
	if
	:: true ->
		if
		:: known[i] != isLimited -> known[i] = isLimited;
#ifndef MUTANT_SAME_VERSION
			version[i]++
#endif
		:: else
		fi;
		if
		:: settled && sinceAnswer == NONE -> sinceAnswer = 0
		:: else
		fi
	:: true
	fi
}

inline heartbeat(from, to) {
	if
	:: cutOff
#ifdef MUTANT_ANY_VERSION
	:: !cutOff -> known[to] = known[from]; version[to] = version[from]
#else
	:: !cutOff && version[from] > version[to] -> known[to] = known[from]; version[to] = version[from]
	:: !cutOff && version[from] <= version[to]
#endif
	fi
}

inline tick() {
	assert(!(sinceAnswer == 2 && (known[0] != isLimited || known[1] != isLimited)));
	sinceAnswer = (sinceAnswer < 2 -> sinceAnswer + 1 : sinceAnswer);
	settled = !cutOff
}

active proctype rounds() {
end:
	do
	:: atomic { change(); injectFault(); answer(0); answer(1); heartbeat(0, 1); heartbeat(1, 0); tick() }
	od
}

#else

#define WINDOW 4
#define BOUND 11
#define BURST 1
#ifdef MUTANT_EACH_COUNTS_ALONE
#define PLACERS 4
#else
#define PLACERS 2
#endif
#define MAX_UNSENT 2

byte tokens[PLACERS];
byte unsent[PLACERS];
byte sent[WINDOW];    /* requests that reached the server in the last rounds */
byte round = 0;       /* index of this round in sent */
byte takeover = 0;    /* 0: the first places; 1: both do, for one round; 2: the second places */

inline place(i) {
	do
#ifdef MUTANT_UNSENT_UNLIMITED
	:: tokens[i] > 0 && unsent[i] < 12 -> tokens[i]--; unsent[i]++
#else
	:: tokens[i] > 0 && unsent[i] < MAX_UNSENT -> tokens[i]--; unsent[i]++
#endif
	:: break
	od
}

inline send(i) {
	do
	:: unsent[i] > 0 -> unsent[i]--; sent[round]++
	:: unsent[i] > 0 -> unsent[i]--; tokens[i] = (tokens[i] < BURST -> tokens[i] + 1 : BURST) /* given up */
	:: break
	od
}

inline refill(i) { tokens[i] = (tokens[i] < BURST -> tokens[i] + 1 : BURST) }

inline step(i) { refill(i); place(i); send(i) }

active proctype rounds() {
	byte i;
end:
	do
	:: atomic {
		if
		:: takeover < 2 -> takeover++
		:: takeover != 1
		fi;
#ifdef MUTANT_EACH_COUNTS_ALONE
		for (i : 0 .. PLACERS - 1) { step(i) };
#else
		if
		:: takeover < 2 -> step(0)
		:: else -> send(0)
		fi;
		if
		:: takeover > 0 -> step(1)
		:: else
		fi;
#endif
		assert(sent[0] + sent[1] + sent[2] + sent[3] <= BOUND);
		round = (round + 1) % WINDOW;
		sent[round] = 0;
		i = 0
	}
	od
}

#endif
