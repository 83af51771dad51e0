/* The INVITE transaction and its CANCEL against the core's promise of one final answer, and against the rule that
 * a paid set-up never runs twice. The caller sends its INVITE again as long as it hears nothing, and may cancel at
 * any moment; messages may be lost, or overtake each other (each kind has its own channel); the box's answer may be
 * lost; the client timeout may strike at any moment.
 *
 * Without the guard in Transactions::answer() (spin -DNOGUARD) a CANCEL that crosses the 200 yields two finals;
 * without the absorption of retransmissions (spin -DNOABSORB) a paid set-up runs twice. models/check runs all three.
 */
mtype = { OK, REFUSED, FAILED, CANCELLED };

chan invites = [2] of { bit };
chan cancels = [1] of { bit };
chan finals = [4] of { mtype };
chan joins = [2] of { bit };
chan outcomes = [2] of { bit };  /* 1: plays, 0: lost */

byte sent = 0;        /* INVITEs put on the wire */
byte distinct = 0;    /* different final answers decided for this transaction */
byte charged = 0;     /* set-ups that the box began */
bool known = false;   /* the transaction exists */
bool decided = false; /* its final answer was given */
bool joinOut = false;
bool released = false;
bool plays = false;
bool callerDone = false;

inline decide(what) {
#ifdef NOGUARD
    distinct++;
    finals!what
#else
    if
    :: !decided -> decided = true; distinct++; finals!what
    :: else -> skip
    fi
#endif
}

active proctype Caller() {
    mtype heard;
    bool cancelled = false;
    invites!1; sent = 1;
    do
    :: finals?heard -> callerDone = true; break
    :: sent < 3 && nfull(invites) -> invites!1; sent++        /* timer A */
    :: !cancelled && nfull(cancels) -> cancels!1; cancelled = true
    :: timeout -> break                                        /* all that was sent was lost */
    od
}

active proctype Front() {
    bit outcome;
    do
    :: invites?1 ->
        if
        :: skip                                                /* lost on the way */
        ::
#ifdef NOABSORB
            joinOut = true; joins!1
#else
            if
            :: !known -> known = true; joinOut = true; joins!1 /* begin(): the module joins */
            :: else -> skip                                    /* absorbed */
            fi
#endif
        fi
    :: cancels?1 ->
        if
        :: known && !plays -> decide(CANCELLED)
        :: else -> skip
        fi
    :: outcomes?outcome ->
        joinOut = false;
        if
        :: outcome == 1 && !decided -> plays = true; decide(OK)
        :: outcome == 1 && decided -> released = true          /* nobody waits for it: given back */
        :: outcome == 0 -> decide(FAILED)                      /* it may have run: never sent again */
        fi
    :: known && joinOut && !decided -> decide(FAILED)          /* the client timeout */
    :: timeout -> break
    od
}

active proctype Box() {
    do
    :: joins?1 ->
        charged++;
        if
        :: outcomes!1
        :: outcomes!0                                          /* the answer is lost */
        fi
    :: timeout -> break
    od
}

/* Safety: in every reachable state. */
active proctype Watch() {
    do
    :: distinct > 1 -> assert(false)
    :: charged > 1 -> assert(false)
    :: timeout -> break
    od;
    /* At the end: what is known was decided; a place that nobody waits for was given back. */
    assert(!known || decided);
    assert(!(charged > 0 && decided && !plays && !released && joinOut))
}
