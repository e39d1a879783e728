/*
 * Models the claims on one idempotency key or, with CONFIGURATION, the accepted configuration.
 *
 * Three incarnations run when the key is first used (maximumDaemons = 3, quorum 2); LATER_MEMBERS
 * more start afterwards. Each may pause, resume and end, and loses its memory when it ends. A
 * message is lost if the step that delivers it is never taken. Time is modelled only as the order
 * of events: a member can confirm that the key is unused if it has run without interruption since
 * the first use, and a member that paused between its check and its reply replies too late to
 * count. Requests may arrive at any time after they were sent, more than once or never.
 *
 * Preprocessor defines that select a variant:
 *   EXPIRY                   the key exceeds its maximum age at some time
 *   ISSUED                   the key was issued, so only incarnation 0 grants it
 *   CONFIGURATION            models the accepted configuration instead of the claims
 *   BROKEN_CONFIRM           members confirm without the required uptime
 *   BROKEN_NOT_RUN           the outcome "not run" is reported without renouncing the claim
 *   BROKEN_CONFIGURATION     a daemon accepts a lower version from the service
 *   BROKEN_LATE_GRANT        after "not run", a member still grants to an attempt begun before
 *   BROKEN_DROP              members drop entries while they can still confirm for the key
 */

#ifndef CONFIGURATION

#ifndef LATER_MEMBERS
#define LATER_MEMBERS 1
#endif
#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#define FIRST_MEMBERS 3
#define MEMBERS (FIRST_MEMBERS + LATER_MEMBERS)

#ifdef ISSUED
#define QUORUM 1
#define IN_CLAIM_GROUP(m) (m == 0)
#else
#define QUORUM 2
#define IN_CLAIM_GROUP(m) true
#endif

#ifdef BROKEN_CONFIRM
#define CONFIRMS(m) (!expired)
#else
#ifdef ISSUED
#define CONFIRMS(m) (!expired)
#else
#define CONFIRMS(m) (hasUptime[m] && !expired)
#endif
#endif

#ifdef BROKEN_DROP
#define MAY_DROP true
#else
#define MAY_DROP expired
#endif

#ifdef BROKEN_LATE_GRANT
#define MAY_GRANT(m, a) true
#else
#define MAY_GRANT(m, a) ((begunBeforeNotRun[m] & (1 << a)) == 0)
#endif

mtype = { UP, PAUSED, ENDED };
mtype = { IDLE, ASKING, CLAIMED, DISPATCHED, FINISHED, ABANDONED, RENOUNCED };
mtype = { EMPTY, HELD, RELEASED, DONE };

/* State of the members. */
mtype processState[MEMBERS];
bool hasUptime[MEMBERS];
mtype phase[MEMBERS];
byte holder[MEMBERS];
byte pendingCheck[MEMBERS];      /* attempt + 1 that passed the check before a pause, 0 if none */
byte begunBeforeNotRun[MEMBERS];  /* attempts begun before the member learned of "not run" */

/* State of the attempts. */
mtype state[ATTEMPTS];
byte host[ATTEMPTS];
byte granted[ATTEMPTS];     /* bit set of members whose grant arrived */
byte grants[ATTEMPTS];

byte begun;                 /* bit set of attempts begun */
byte mustNotDispatch;       /* bit set of attempts begun before a caller was told "not run" */
byte dispatches;
bool expired;               /* the key is older than KEY_MAX_AGE on every clock */
byte faults;                /* number of pauses and ends that may still happen */

#define HOST_UP(a) (processState[host[a]] == UP)
#define STILL_ASKING(a) (state[a] == ASKING && HOST_UP(a))
#define HAS_GRANT(m, a) ((granted[a] & (1 << m)) != 0)

inline receiveGrant(m, a) {
    if
    :: STILL_ASKING(a) && MAY_GRANT(m, a) && !HAS_GRANT(m, a) ->
        granted[a] = granted[a] | (1 << m);
        grants[a]++
    :: else
    fi
}

inline check(m, a) {
    if
    :: phase[m] == EMPTY || phase[m] == RELEASED ->
        phase[m] = HELD;
        holder[m] = a;
        receiveGrant(m, a)
    :: phase[m] == DONE && STILL_ASKING(a) ->
        assert(dispatches == 1);  /* the caller is told "ran" */
        state[a] = ABANDONED;
        granted[a] = 0;
        grants[a] = 0
    :: phase[m] == HELD && holder[m] == a -> receiveGrant(m, a)
    :: else
    fi
}

inline clearMemory(m) {
    phase[m] = EMPTY;
    holder[m] = 0;
    pendingCheck[m] = 0;
    begunBeforeNotRun[m] = 0
}

#define BEGUN(a) ((begun & (1 << a)) != 0)
#define FREE(m) (phase[m] == EMPTY || phase[m] == RELEASED)
#define PASSES_CHECK(m, a) (BEGUN(a) && FREE(m) && CONFIRMS(m))
#define MAY_CHECK(m, a) (processState[m] == UP && IN_CLAIM_GROUP(m) && BEGUN(a) \
    && (CONFIRMS(m) || !FREE(m)))

inline pause(m) {
    faults--;
    processState[m] = PAUSED;
    hasUptime[m] = false
}

proctype member(byte m) {
end:
    do
    :: atomic { MAY_CHECK(m, 0) -> check(m, 0) }
    :: atomic { MAY_CHECK(m, 1) -> check(m, 1) }
#if ATTEMPTS > 2
    :: atomic { MAY_CHECK(m, 2) -> check(m, 2) }
#endif
    /* A release, an outcome or the holder's answer to a query arrives. */
    :: atomic { processState[m] == UP && phase[m] == HELD && state[holder[m]] == ABANDONED ->
        phase[m] = RELEASED;
        holder[m] = 0 }
    :: atomic { processState[m] == UP && phase[m] == HELD && state[holder[m]] == RENOUNCED ->
        phase[m] = RELEASED;
        holder[m] = 0;
        begunBeforeNotRun[m] = begun }
    :: atomic { processState[m] == UP && phase[m] == HELD && state[holder[m]] == FINISHED ->
        phase[m] = DONE;
        holder[m] = 0 }
    :: atomic { processState[m] == UP && phase[m] != EMPTY && MAY_DROP -> clearMemory(m) }
    /* A pause may also fall between the check of a request and the entry of the claim. */
    :: atomic { processState[m] == UP && faults > 0 -> pause(m) }
    :: atomic { processState[m] == UP && faults > 0 && PASSES_CHECK(m, 0) ->
        pendingCheck[m] = 1;
        pause(m) }
    :: atomic { processState[m] == UP && faults > 0 && PASSES_CHECK(m, 1) ->
        pendingCheck[m] = 2;
        pause(m) }
    :: atomic { processState[m] == PAUSED ->
        processState[m] = UP;
        if
        :: pendingCheck[m] != 0 && FREE(m) ->
            phase[m] = HELD;
            holder[m] = pendingCheck[m] - 1;
            pendingCheck[m] = 0
        :: else -> pendingCheck[m] = 0
        fi }
    :: atomic { processState[m] != ENDED && faults > 0 ->
        faults--;
        processState[m] = ENDED;
        hasUptime[m] = false;
        clearMemory(m) }
    od
}

proctype attempt(byte a) {
    /* Attempts 0 and 1 run on first members, attempt 2 on a member that started later. */
    atomic {
        HOST_UP(a);
        state[a] = ASKING;
        begun = begun | (1 << a)
    }
end:
    do
    :: atomic { state[a] == ASKING && HOST_UP(a) && grants[a] >= QUORUM -> state[a] = CLAIMED }
    /* Too few grants, a competing claim, a passed deadline or any other reason to give up. */
    :: atomic { state[a] == ASKING && HOST_UP(a) ->
        state[a] = ABANDONED;
        granted[a] = 0;
        grants[a] = 0 }
    :: atomic { state[a] == CLAIMED && HOST_UP(a) ->
        assert((mustNotDispatch & (1 << a)) == 0);
        state[a] = DISPATCHED;
        dispatches++;
        assert(dispatches <= 1) }
    :: atomic { state[a] == CLAIMED && HOST_UP(a) && (mustNotDispatch & (1 << a)) == 0 ->
        assert(dispatches == 0);  /* the caller is told "not run" */
        mustNotDispatch = mustNotDispatch | begun;
#ifndef BROKEN_NOT_RUN
        state[a] = RENOUNCED;
        granted[a] = 0;
        grants[a] = 0
#endif
      }
    :: atomic { state[a] == DISPATCHED && HOST_UP(a) -> state[a] = FINISHED }
    od
}

#ifdef EXPIRY
proctype clock() {
    atomic { expired = true }
}
#endif

init {
    byte i;
    atomic {
        faults = FAULTS;
        for (i : 0 .. MEMBERS - 1) {
            processState[i] = UP;
            hasUptime[i] = (i < FIRST_MEMBERS);
            phase[i] = EMPTY
        }
        for (i : 0 .. ATTEMPTS - 1) {
            state[i] = IDLE;
            host[i] = i + (i == 2 -> FIRST_MEMBERS - 2 : 0)
        }
        for (i : 0 .. MEMBERS - 1) {
            run member(i)
        }
        for (i : 0 .. ATTEMPTS - 1) {
            run attempt(i)
        }
#ifdef EXPIRY
        run clock();
#endif
        i = 0
    }
}

#else /* CONFIGURATION */

#define DAEMONS 3
#define VERSIONS 4
#define REJECTED 2  /* the text of this version is invalid, so every daemon rejects it */

byte latest = 1;            /* the newest version; the service may also serve any earlier one */
byte accepted[DAEMONS];
byte highest[DAEMONS];      /* the highest version accepted by this incarnation */
byte restarts = 2;

inline offer(d, version) {
    if
    :: version == REJECTED || version == 0
#ifdef BROKEN_CONFIGURATION
    :: version != REJECTED && version != 0 -> accepted[d] = version
#else
    :: version != REJECTED && version > accepted[d] -> accepted[d] = version
    :: else
#endif
    fi;
    assert(accepted[d] >= highest[d]);
    assert(accepted[d] != REJECTED);
    highest[d] = accepted[d]
}

proctype daemon(byte d) {
    byte v;
end:
    do
    :: atomic { select(v : 1 .. VERSIONS);
        if
        :: v <= latest -> offer(d, v)
        :: else
        fi;
        v = 0 }
    :: atomic { accepted[(d + 1) % DAEMONS] != 0 -> offer(d, accepted[(d + 1) % DAEMONS]) }
    :: atomic { accepted[(d + 2) % DAEMONS] != 0 -> offer(d, accepted[(d + 2) % DAEMONS]) }
    :: atomic { restarts > 0 -> restarts--; accepted[d] = 0; highest[d] = 0 }
    od
}

proctype operator() {
end:
    do
    :: atomic { latest < VERSIONS -> latest++ }
    od
}

init {
    byte i;
    atomic {
        for (i : 0 .. DAEMONS - 1) {
            run daemon(i)
        }
        run operator();
        i = 0
    }
}

#endif
