package bed;

/** The request comes to all machines at once, and the crashed runners come back under new ids. */
public final class CrasherAtOnce {
    private CrasherAtOnce() {
    }

    public static void main(String[] args) throws Exception {
        Crasher.run(Crasher.Mode.AT_ONCE, args);
    }
}
