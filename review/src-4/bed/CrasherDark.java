package bed;

/** The crashed runners go dark, and come back under new ids. */
public final class CrasherDark {
    private CrasherDark() {
    }

    public static void main(String[] args) throws Exception {
        Crasher.run(Crasher.Mode.DARK, args);
    }
}
